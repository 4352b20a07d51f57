package place_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/pkg/demand"
	"github.com/tanagerlb/tanagerlb/pkg/place"
	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

var start = time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)

var adapter = spec.Adapter{Name: "a", Version: "v1"}

func directory() *place.Directory {
	return place.NewDirectory(place.DirectoryConfig{
		Candidates: 4, MaxFill: 0.6, QueueTTL: time.Second,
		Demand:      demand.Config{HalfLife: time.Minute, MinAge: time.Minute},
		ShortDemand: demand.Config{HalfLife: time.Second, MinAge: time.Second},
	})
}

// A request that no engine can take gets an empty Placement. Such a request once
// crashed a VM.
func TestNoEngine(t *testing.T) {
	is := is.New(t)
	is.Equal(directory().Place(start, adapter, nil), place.Placement{})
	d := directory()
	is.Equal(len(d.Place(start, adapter, []string{"e1"}).Candidates), 1)
	is.Equal(d.PlaceWithBids(start, adapter, nil).Engine, "")
	is.Equal(d.PlaceNext(start, adapter).Engine, "")
}

// An adapter is placed on the engine with the cheapest bid and stays there until the
// engine evicts the adapter or is no longer eligible.
func TestPlace(t *testing.T) {
	is := is.New(t)
	d := directory()
	engines := []string{"e1", "e2"}
	d.Place(start, adapter, engines)
	bids := []place.Bid{{Engine: "e1", EvictionCost: 5, BatchSize: 4}, {Engine: "e2", EvictionCost: 1, BatchSize: 4}}
	is.Equal(d.PlaceWithBids(start, adapter, bids).Engine, "e2")
	is.Equal(d.Place(start.Add(time.Minute), adapter, engines).Engine, "e2")
	is.Equal(d.Place(start.Add(time.Minute), adapter, []string{"e1"}).Candidates, []string{"e1"})
	is.Equal(d.PlaceWithBids(start.Add(time.Minute), adapter, bids[:1]).Engine, "e1")
	d.Evicted(adapter, "e1")
	is.True(len(d.Place(start.Add(2*time.Minute), adapter, engines).Candidates) > 0)
}
