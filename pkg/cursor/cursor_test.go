package cursor_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/pkg/cursor"
)

func ExamplePosition_Number() {
	before := cursor.Position{Offset: 99}
	after := cursor.Position{Era: 1, Offset: 60} // from a copy that ended at offset 60
	fmt.Println(before.Number(), after.Number() > before.Number())
	// Output: 100 true
}

func TestNumberRisesWithThePosition(t *testing.T) {
	is := is.New(t)
	positions := []cursor.Position{{}, {Offset: 1}, {Offset: 1 << 35}, {Era: 1}, {Era: 1, Offset: 7}, {Era: 2}, {Era: 100_000, Offset: 1 << 35}}
	for i, p := range positions {
		for j, q := range positions {
			is.Equal(p.Compare(q) < 0, i < j)
			is.Equal(p.Number() < q.Number(), i < j)
		}
		is.True(p.Number() < 1<<53) // exact as a floating-point number
	}
}
