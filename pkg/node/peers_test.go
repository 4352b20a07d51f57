package node_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/pkg/member"
	"github.com/tanagerlb/tanagerlb/pkg/node"
)

// Guards against VMs that are never probed. In fleets of 18 VMs or more, each VM got
// heartbeats only from the peers that it probed or that probed it, so some VMs
// never counted as live.
func TestEachVMOfALargeFleetIsProbed(t *testing.T) {
	for _, count := range []int{6, 18, 30, 96} {
		t.Run(fmt.Sprint(count, " VMs"), func(t *testing.T) {
			is := is.New(t)
			var list []member.ListEntry
			for i := range count {
				peer := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 7002)
				list = append(list, member.ListEntry{VM: member.VM{Name: fmt.Sprintf("vm-%02d", i), Boot: fmt.Sprint("b", i), Zone: "z", Peer: peer}})
			}
			timing := node.Defaults()
			n := node.New(node.Config{Self: list[0].VM, Keys: node.Keys{Partitions: 1, Lifetime: time.Minute, MaxKeys: 100}, Timing: timing})
			now := time.Unix(1_000_000, 0)
			n.Step(now, node.VMListRead{VMs: list})
			probed, most := map[string]bool{}, 0
			for end := now.Add(time.Duration(count) * timing.Probe); now.Before(end); now = now.Add(50 * time.Millisecond) {
				probes := 0
				for _, action := range n.Step(now, node.Tick{}) {
					if p, ok := action.(node.Probe); ok {
						probed[p.VM.Name] = true
						probes++
						n.Step(now, node.PeerHeartbeat{VM: p.VM})
					}
				}
				most = max(most, probes)
			}
			is.Equal(len(probed), count-1)
			is.True(most <= timing.ProbePeers+1) // the number of probes per tick does not grow with the fleet
		})
	}
}
