package slots_test

import (
	"os"
	"testing"

	"github.com/tanagerlb/tanagerlb/internal/testlib"
)

func TestMain(m *testing.M) { os.Exit(testlib.RunSeeded(m)) }
