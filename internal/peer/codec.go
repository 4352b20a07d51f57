package peer

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/tanagerlb/tanagerlb/internal/ctrl"
	"github.com/tanagerlb/tanagerlb/internal/owner"
	"github.com/tanagerlb/tanagerlb/internal/peer/peerpb"
	"github.com/tanagerlb/tanagerlb/pkg/claim"
	"github.com/tanagerlb/tanagerlb/pkg/crash"
	"github.com/tanagerlb/tanagerlb/pkg/member"
	"github.com/tanagerlb/tanagerlb/pkg/node"
	"github.com/tanagerlb/tanagerlb/pkg/place"
	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

func encodeVM(vm member.VM, leaving bool) *peerpb.VM {
	return &peerpb.VM{
		Name:    vm.Name,
		Boot:    vm.Boot,
		Zone:    vm.Zone,
		Caller:  vm.Caller.String(),
		Peer:    vm.Peer.String(),
		Leaving: leaving,
	}
}

func decodeVM(w *peerpb.VM) (member.VM, error) {
	caller, err := netip.ParseAddrPort(w.GetCaller())
	if err != nil {
		return member.VM{}, fmt.Errorf("decode VM %q: %w", w.GetName(), err)
	}
	peer, err := netip.ParseAddrPort(w.GetPeer())
	if err != nil {
		return member.VM{}, fmt.Errorf("decode VM %q: %w", w.GetName(), err)
	}
	return member.VM{Name: w.GetName(), Boot: w.GetBoot(), Zone: w.GetZone(), Caller: caller, Peer: peer}, nil
}

func encodeHeartbeat(self ctrl.Heartbeat) *peerpb.Sign {
	heartbeat := &peerpb.Sign{From: encodeVM(self.VM, self.Leaving), Versions: self.Versions, Log: self.LogUp}
	for _, y := range self.Yields {
		heartbeat.Yields = append(heartbeat.Yields, &peerpb.Yield{Engine: y.Engine, UntilMs: y.Remaining.Milliseconds()})
	}
	return heartbeat
}

func decodeHeartbeat(w *peerpb.Sign) (node.PeerHeartbeat, error) {
	vm, err := decodeVM(w.GetFrom())
	if err != nil {
		return node.PeerHeartbeat{}, err
	}
	heartbeat := node.PeerHeartbeat{VM: vm, Leaving: w.GetFrom().GetLeaving(), Versions: w.GetVersions(), LogUp: w.GetLog()}
	for _, y := range w.GetYields() {
		remaining := time.Duration(y.GetUntilMs()) * time.Millisecond
		heartbeat.Yields = append(heartbeat.Yields, claim.Yield{Engine: y.GetEngine(), Boot: vm.Boot, Remaining: remaining})
	}
	return heartbeat, nil
}

func encodeRequest(now time.Time, r owner.Request) *peerpb.CompleteRequest {
	return &peerpb.CompleteRequest{
		Id:       r.ID,
		Service:  r.Service,
		Engine:   r.Engine,
		Adapter:  r.Adapter.Name,
		Version:  r.Adapter.Version,
		Prompt:   r.Prompt,
		Tokens:   int32(r.MaxTokens), //nolint:gosec // bounded by the caller API
		Offset:   int32(r.Offset),    //nolint:gosec // less than MaxTokens
		Urgency:  int32(r.Urgency),   //nolint:gosec // one of three values
		BudgetMs: r.Deadline.Sub(now).Milliseconds(),
		Print:    uint64(r.Fingerprint),
		Suspect:  r.Suspect,
		Demand:   r.ExpectedRate,
	}
}

func decodeRequest(now time.Time, w *peerpb.CompleteRequest) owner.Request {
	return owner.Request{
		ID:           w.GetId(),
		Service:      w.GetService(),
		Engine:       w.GetEngine(),
		Adapter:      spec.Adapter{Name: w.GetAdapter(), Version: w.GetVersion()},
		Prompt:       w.GetPrompt(),
		MaxTokens:    int(w.GetTokens()),
		Offset:       int(w.GetOffset()),
		Urgency:      spec.Urgency(w.GetUrgency()),
		Arrived:      now,
		Deadline:     now.Add(time.Duration(w.GetBudgetMs()) * time.Millisecond),
		Fingerprint:  crash.Fingerprint(w.GetPrint()),
		Suspect:      w.GetSuspect(),
		ExpectedRate: w.GetDemand(),
	}
}

func encodeBids(bids []place.Bid) []*peerpb.Bid {
	encoded := make([]*peerpb.Bid, len(bids))
	for i, b := range bids {
		encoded[i] = &peerpb.Bid{
			Engine:    b.Engine,
			Holds:     b.HasAdapter,
			Cost:      b.EvictionCost,
			Queue:     int32(b.Outstanding), //nolint:gosec // a small count
			Batch:     int32(b.BatchSize),   //nolint:gosec // bounded by the document
			ServiceUs: b.ServiceTime.Microseconds(),
		}
	}
	return encoded
}

func decodeBids(encoded []*peerpb.Bid) []place.Bid {
	bids := make([]place.Bid, len(encoded))
	for i, b := range encoded {
		bids[i] = place.Bid{
			Engine:       b.GetEngine(),
			HasAdapter:   b.GetHolds(),
			EvictionCost: b.GetCost(),
			Outstanding:  int(b.GetQueue()),
			BatchSize:    int(b.GetBatch()),
			ServiceTime:  time.Duration(b.GetServiceUs()) * time.Microsecond,
		}
	}
	return bids
}
