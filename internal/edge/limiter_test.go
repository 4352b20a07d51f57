package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/platform"
)

// Guards against more loads of base models within Bounds.LoadTime than the
// platform allows, when many engines start empty at once and each VM orders loads
// as fast as its limiter permits.
func TestLoadsOfBaseModelsKeepTheCeiling(t *testing.T) {
	bounds := platform.Bounds{LoadTime: 5 * time.Second, Overshoot: 1.1}
	for _, c := range []struct {
		loads float64
		vms   int
	}{{5, 9}, {6.6, 6}, {44, 89}, {2, 40}, {44, 960}, {0.5, 3}} {
		t.Run(fmt.Sprintf("%v a second, %d VMs", c.loads, c.vms), func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(1_000_000, 0)
			loadLimiters := make([]*loadLimiter, c.vms)
			for i := range loadLimiters {
				loadLimiters[i] = newLoadLimiter(start, c.loads, c.vms, bounds, (float64(i)+0.5)/float64(c.vms))
			}
			var begun []time.Time
			for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(20 * time.Millisecond) {
				for _, l := range loadLimiters {
					if l.limiter.AllowN(now, 1) {
						begun = append(begun, now)
					}
				}
			}
			most := int(c.loads*bounds.LoadTime.Seconds()*bounds.Overshoot) + overshootSlack
			for i := range begun {
				is.True(i < most || begun[i].Sub(begun[i-most]) > bounds.LoadTime)
			}
			is.True(len(begun) >= int(0.6*c.loads*30)) // the limiters use most of the allowed rate
		})
	}
}
