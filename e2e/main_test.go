// Package e2e holds tests of `tanagerlb serve` that run real VM processes behind
// fault-injecting proxies.
package e2e

import (
	"os"
	"testing"

	_ "github.com/tanagerlb/tanagerlb/internal/daemon" // imported so that go test reruns these tests, not using cached results, when the code of the VM processes changes
	_ "github.com/tanagerlb/tanagerlb/internal/demo"
	"github.com/tanagerlb/tanagerlb/internal/testlib"
)

func TestMain(m *testing.M) {
	code := m.Run()
	testlib.RemoveBuilds()
	os.Exit(code)
}
