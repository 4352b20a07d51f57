package relay

import (
	"testing"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/pkg/roster"
)

func TestEnginesOfABaseModel(t *testing.T) {
	is := is.New(t)
	all := []roster.Upstream{{ID: "e1"}, {ID: "e2"}, {ID: "e3"}}
	v := &View{Upstreams: map[string][]roster.Upstream{"s": all}, UpstreamIDs: map[string][]string{"s": {"e1", "e2", "e3"}}}
	group, spare := v.engines("s", "a")
	is.Equal(group.IDs, []string{"e1", "e2", "e3"}) // one base model for the whole service: any engine will do
	is.Equal(spare, nil)

	v.ByModel = map[string]map[string]Group{"s": {"a": {Upstreams: all[:2], IDs: []string{"e1", "e2"}}}}
	group, spare = v.engines("s", "a")
	is.Equal(group.IDs, []string{"e1", "e2"})
	is.Equal(spare.ID, "e3")

	group, spare = v.engines("s", "b") // no engine holds the model: one is chosen to load it
	is.Equal(len(group.IDs), 1)
	is.Equal(group.Upstreams[0].ID, group.IDs[0])
	is.True(spare != nil && spare.ID != group.IDs[0])
}
