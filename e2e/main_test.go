// Package e2e holds tests that run real VM processes behind fault-injecting
// proxies.
package e2e

import (
	"os"
	"testing"

	"github.com/tanagerlb/tanagerlb/internal/testlib"
)

func TestMain(m *testing.M) {
	code := m.Run()
	testlib.Clean()
	os.Exit(code)
}
