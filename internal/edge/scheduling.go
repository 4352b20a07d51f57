package edge

import (
	"context"
	"errors"
	"net/netip"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/pkg/engine"
	"github.com/tanagerlb/tanagerlb/pkg/gossip"
	"github.com/tanagerlb/tanagerlb/platform"
)

// handlePacket handles a packet from a peer, or from this VM itself.
func (c *control) handlePacket(ctx context.Context, now time.Time, r packetReceived) {
	p := r.packet
	switch {
	case p.Probe != nil:
		c.handleProbe(ctx, now, r.from, p.Probe)
	case p.Records != nil:
		c.applyForwarded(ctx, now, r.from, p.Records)
	case p.CrashReport != nil:
		c.handleCrashReport(now, r.from, p.CrashReport.Runs)
	case p.CrashQuery != nil:
		c.replyCrashes(now, r.from)
		c.replyDraining(r.from)
	case p.DrainNotice != nil:
		c.applyDrainNotice(now, p.DrainNotice)
	case p.BlockNotice != nil:
		c.handleBlockNotice(now, r.from, p.BlockNotice.Runs)
	case p.ClearNotice != nil:
		c.applyClear(now, r.from, p.ClearNotice)
	case p.PaceRequest != nil:
		c.handlePaceRequest(now, r.from, p.PaceRequest)
	case p.PaceReply != nil:
		c.limits.pacer.handleReply(p.PaceReply)
	case p.LimitNotice != nil:
		c.handleLimitNotice(now, p.LimitNotice.Limit)
	case p.SlotReply != nil:
		c.dispatcher.handleReply(p.SlotReply)
	case p.SlotRequest != nil:
		c.handleSlotRequest(ctx, now, r.from, p.SlotRequest)
	case p.FirstToken != nil:
		if h, ok := c.held[p.FirstToken.Engine]; ok {
			h.scheduler.FirstToken(p.FirstToken.ID, p.FirstToken.Elapsed)
			if u := h.scheduler.Usage(now); c.logger.Core().Enabled(zap.DebugLevel) {
				c.logger.Debug("engine: first token", zap.String("upstream", p.FirstToken.Engine), zap.Duration("after", p.FirstToken.Elapsed),
					zap.Int("running", u.Running), zap.Int("queued", u.Queued), zap.Int("adapters", u.Adapters),
					zap.Int("used", u.AdaptersInUse), zap.Int("coming", u.AdaptersLoading), zap.Int("blocked", u.Blocked), zap.Int("unread", u.PrefillBacklog), zap.Float64("slow", u.Slowdown))
			}
			c.schedule(ctx, now, p.FirstToken.Engine, h)
		}
	case p.SlotSilent != nil:
		if h, ok := c.held[p.SlotSilent.Engine]; ok {
			h.scheduler.Silent(now, p.SlotSilent.ID)
			c.schedule(ctx, now, p.SlotSilent.Engine, h)
		}
	case p.SlotRelease != nil:
		if h, ok := c.held[p.SlotRelease.Engine]; ok {
			delete(h.waiters, p.SlotRelease.ID)
			h.scheduler.End(now, p.SlotRelease.ID, p.SlotRelease.Outcome)
			c.schedule(ctx, now, p.SlotRelease.Engine, h)
		}
	}
}

func (c *control) handleProbe(ctx context.Context, now time.Time, from netip.AddrPort, p *probe) {
	c.noteEra(now, p.Operator.Era, "peer")
	if p.Warm {
		c.poison.warmAt = now
	}
	c.noteProved(now, from, p.Proved)
	c.storeUptime.note(now, c.downSince(), p.Uptime, p.ReadAge)
	c.noteTurns(sinceBoot(), p.Turns)
	c.noteVersion(p)
	c.noteProof(sinceBoot(), p)
	c.noteAhead(now, from, p.Operator)
	c.checkBehind(ctx, now)
	c.creditFleet.noteProbe(now, p)
	changed := c.gossip.ApplyDirect(now, p.From)
	c.askForCrashes(p.From.VM)
	for _, u := range p.Updates {
		changed = c.gossip.Apply(now, u) || changed
	}
	if !p.Reply {
		reply := c.newProbe(now)
		reply.Reply = true
		c.echo(sinceBoot(), p, reply)
		c.transport.send(from, packet{Probe: reply})
	}
	if changed {
		c.reconcileSoon(now)
	}
}

// newProbe returns a probe with this VM's gossip.
func (c *control) newProbe(now time.Time) *probe {
	uptime, age := c.ownUptime(now)
	p := &probe{From: c.gossip.Self(), Updates: c.gossip.Updates(), Uptime: uptime, ReadAge: age, Turns: sinceBoot() - c.turnsBegan, Warm: !c.poison.whole.empty(now), Proved: c.poison.proved(now), CutOff: c.hasOrganisations() && c.creditFleet.isCutOff(now), Operator: c.operatorPosition()}
	c.tellVersion(p)
	return p
}

func (c *control) handleSlotRequest(ctx context.Context, now time.Time, from netip.AddrPort, r *slotRequest) {
	h, ok := c.held[r.Engine]
	if !ok || h.upstream.Draining {
		c.dispatcher.reply(from, newSlotReply(r.ID, engine.Refused{Reason: engine.Closed, Wait: renewInterval}))
		return
	}
	reply := decideSlot(now, h.scheduler, r)
	if reply.Queued {
		h.waiters[r.ID] = from
	}
	c.dispatcher.reply(from, reply)
	c.schedule(ctx, now, r.Engine, h)
}

// decideSlot lets the scheduler of an engine decide on a slot request.
func decideSlot(now time.Time, scheduler *engine.Scheduler, r *slotRequest) *slotReply {
	name := engine.Name{Model: r.Model, Adapter: r.Adapter}
	scheduler.SetNewest(name, engine.Version{Number: r.NewestVersion, Published: now})
	var memory engine.Memory // what was held before this request
	if sharesParts(r.PromptParts) {
		memory = scheduler.Memory(name, r.PromptTokens, r.PromptParts)
	}
	d := scheduler.Admit(now, engine.Request{
		ID: r.ID, Sender: senderOfID(r.ID), Name: name, PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens, PromptParts: r.PromptParts,
		Urgency: r.Urgency, Objective: now.Add(r.Objective), UsefulUntil: now.Add(r.UsefulUntil), Deadline: now.Add(r.Deadline), MayQueue: r.MayQueue,
		FirstChoice: r.FirstChoice, Spread: r.Spread,
	})
	reply := newSlotReply(r.ID, d)
	reply.Engine, reply.FirstTokenWait = r.Engine, scheduler.Usage(now).FirstTokenWait
	reply.Unread, reply.Rate, reply.Reserved = memory.Unread, float32(memory.Rate), memory.Reserved
	if r.FirstChoice {
		reply.Spread = scheduler.Spread(now, name, r.Spread)
	}
	return reply
}

// endRestarted ends the requests of VMs whose processes have started anew, at the engines that this
// VM holds: their connections to the engines are gone, and nobody else ends them before their
// deadlines.
func (c *control) endRestarted() {
	running := make(map[string]gossip.VM, len(c.running))
	for _, m := range c.gossip.Members() {
		running[m.VM.Name] = m.VM
		before, ok := c.running[m.VM.Name]
		if !ok || before.Boot == m.VM.Boot {
			continue
		}
		for id, h := range c.held {
			if ended := h.scheduler.EndSender(senderOf(before)); ended > 0 {
				c.logger.Info("engine: requests of an earlier process of a VM are ended", zap.String("upstream", id), zap.String("vm", m.VM.Name),
					zap.Int64("boot", before.Boot), zap.Int("requests", ended))
			}
		}
	}
	c.running = running
}

// scheduleAll runs a scheduling round for all engines that this VM holds.
func (c *control) scheduleAll(ctx context.Context, now time.Time) {
	for id, h := range c.held {
		c.schedule(ctx, now, id, h)
	}
}

// schedule runs a scheduling round for an engine and carries out the resulting
// actions.
func (c *control) schedule(ctx context.Context, now time.Time, id string, h *heldEngine) {
	if !c.settings.Bounds.Fenced {
		h.scheduler.Confirm(now.Add(c.confirmedAt + confirmTime - sinceBoot()))
	}
	for _, a := range h.scheduler.Next(now) {
		if a, ok := a.(engine.Reply); ok {
			c.dispatcher.reply(h.waiters[a.ID], newSlotReply(a.ID, a.Decision))
			delete(h.waiters, a.ID)
			continue
		}
		if load, ok := a.(engine.Load); ok && load.Name.Adapter == "" && !c.allowLoad(now, h.upstream.Service) {
			c.logger.Info("engine: load of a base model is deferred", zap.String("upstream", id), zap.String("model", load.Name.Model))
			h.scheduler.OrderDone(now, a, engine.Deferred)
			continue
		}
		j := &orderJob{
			engines: c.engines, post: c.post, logger: c.logger, engine: id, held: h, address: h.upstream.Address,
			token: h.token, holder: c.self.Name, action: a,
		}
		go j.run(ctx)
	}
}

// orderJob sends an order to an engine, or requests the engine's status report.
type orderJob struct {
	engines *platform.EngineClient
	post    func(event)
	logger  *zap.Logger
	engine  string
	held    *heldEngine
	address netip.AddrPort
	token   int64
	holder  string
	action  engine.Action
}

func (j *orderJob) run(ctx context.Context) {
	order := platform.Order{Holder: j.holder, FencingToken: j.token}
	switch a := j.action.(type) {
	case engine.Poll:
		report, err := j.engines.Report(ctx, j.address, j.engine)
		j.post(reportDone{engine: j.engine, held: j.held, report: report, err: err})
		return
	case engine.Load:
		order.Model, order.Adapter, order.Version, order.ExpectedOrders = a.Name.Model, a.Name.Adapter, a.Version, a.ExpectedOrders
	case engine.Unload:
		order.Unload, order.Model, order.Adapter, order.ExpectedOrders = true, a.Name.Model, a.Name.Adapter, a.ExpectedOrders
	}
	inEffect, err := j.engines.Order(ctx, j.address, j.engine, order)
	result := engine.Accepted
	switch {
	case errors.Is(err, platform.ErrOrderConflict), errors.Is(err, platform.ErrFenced), errors.Is(err, platform.ErrMisdirected), errors.Is(err, platform.ErrRejected):
		result = engine.Rejected
	case err != nil:
		result = engine.Unclear
	case inEffect:
		result = engine.NoChange
	}
	j.logger.Info("engine: ordered", zap.String("upstream", j.engine), zap.String("adapter", order.Adapter),
		zap.Bool("unload", order.Unload), zap.Int64("version", order.Version), zap.Int64("accepted", order.ExpectedOrders),
		zap.Int64("token", j.token), zap.Bool("holds", inEffect), zap.Error(err))
	j.post(orderDone{
		engine: j.engine, held: j.held, token: j.token, action: j.action, result: result,
		fenced: errors.Is(err, platform.ErrFenced), misdirected: errors.Is(err, platform.ErrMisdirected),
	})
}

func (c *control) orderDone(ctx context.Context, now time.Time, e orderDone) {
	h, ok := c.held[e.engine]
	if !ok || h != e.held {
		return
	}
	if e.misdirected {
		c.noteMisdirected(now, e.engine)
		return
	}
	if e.fenced && e.token == h.token {
		// Another VM has claimed the engine; this VM has not read the claim yet. An order
		// with the token of this VM's claim before may come after one with the new token.
		h.scheduler.StopOrders()
	}
	h.scheduler.OrderDone(now, e.action, e.result)
	c.schedule(ctx, now, e.engine, h)
}

// noteMisdirected handles that another upstream answers at an engine's address: the engine
// is gone, whatever the store says.
func (c *control) noteMisdirected(now time.Time, id string) {
	c.markMissing(now, id, 0)
	c.reconcile(now)
}

func (c *control) reportDone(ctx context.Context, now time.Time, e reportDone) {
	h, ok := c.held[e.engine]
	if !ok || h != e.held {
		return
	}
	if errors.Is(e.err, platform.ErrMisdirected) {
		c.noteMisdirected(now, e.engine)
		return
	}
	if e.err != nil {
		c.logger.Info("engine: no report", zap.String("upstream", e.engine), zap.Error(e.err))
		h.scheduler.PollFailed(now)
		return
	}
	loading := make([]engine.Name, 0, len(e.report.Loading))
	for _, text := range e.report.Loading {
		model, adapter, _ := strings.Cut(text, "/")
		adapter, _, _ = strings.Cut(adapter, "@")
		loading = append(loading, engine.Name{Model: model, Adapter: adapter})
	}
	h.scheduler.Reported(now, e.report.Models, loading, e.report.AcceptedOrders)
	c.schedule(ctx, now, e.engine, h)
}
