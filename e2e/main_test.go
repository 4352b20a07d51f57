// Package e2e holds tests that run real VM processes behind fault-injecting
// proxies.
package e2e

import (
	"os"
	"testing"

	_ "github.com/tanagerlb/tanagerlb/internal/daemon" // so that go test does not take a cached result for changed processes
	_ "github.com/tanagerlb/tanagerlb/internal/demo"
	"github.com/tanagerlb/tanagerlb/internal/testlib"
)

func TestMain(m *testing.M) {
	code := m.Run()
	testlib.Clean()
	os.Exit(code)
}
