package e2e

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/internal/testlib"
)

// sendRaw writes text to a new TCP connection and returns the first 256 bytes of the
// answer, or the error text if the connection fails.
func sendRaw(address netip.AddrPort, text string) string {
	c, err := net.DialTimeout("tcp", address.String(), time.Second)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(c, text)
	answer, _ := io.ReadAll(io.LimitReader(c, 256))
	return string(answer)
}

func postRequest(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// maxResident is the maximum resident memory of a VM process under hostile input, in
// bytes. It equals the memory target for a VM's control plane.
const maxResident = 256 << 20

// A VM refuses hostile input, stays below its memory target, and then still serves
// other callers.
func TestHostileInput(t *testing.T) {
	is := is.New(t)
	f := testlib.NewFleet(t, testlib.FleetConfig{VMs: 1, Engines: 1})
	f.MustPublish(f.ModelDocument("school-12@v1"))
	f.AwaitOwned()
	vm := f.VMs[0]
	complete := "/v1/services/lm-assist/complete"
	for _, c := range []struct {
		name, text, want string
	}{
		{"not http", "\x00\xff\x00 hello\r\n\r\n", "HTTP/1.1 400"},
		{"not json", postRequest(complete, "{"), "HTTP/1.1 400"},
		{"wrong type", postRequest(complete, `{"adapter":7,"prompt":"x"}`), "HTTP/1.1 400"},
		{"missing field", postRequest(complete, `{"prompt":"x"}`), "HTTP/1.1 400"},
		{"out of range", postRequest(complete, `{"adapter":"school-12","prompt":"x","tokens":1000000000}`), "HTTP/1.1 400"},
		{"long name", postRequest(complete, `{"adapter":"`+strings.Repeat("a", 5000)+`","prompt":"x"}`), "HTTP/1.1 400"},
		{"long prompt", postRequest(complete, `{"adapter":"school-12","prompt":"`+strings.Repeat("a", 300_000)+`"}`), "HTTP/1.1 400"},
		{"oversized", postRequest(complete, strings.Repeat(" ", 2<<20)), "HTTP/1.1 413"},
		{"deep", postRequest(complete, strings.Repeat("[", 100_000)), "HTTP/1.1 400"},
		{"header flood", "GET /v1/addresses HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("X-Flood: "+strings.Repeat("y", 1000)+"\r\n", 100) + "\r\n", "HTTP/1.1 431"},
		{"unknown path", postRequest("/v1/documents", "{}"), "HTTP/1.1 404"},
	} {
		got := sendRaw(vm.Caller, c.text)
		if !strings.HasPrefix(got, c.want) {
			t.Errorf("%s: got %.60q, want %s", c.name, got, c.want)
		}
	}
	for _, address := range []netip.AddrPort{vm.Peer, vm.Operator, vm.Caller} {
		for _, text := range []string{
			"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + strings.Repeat("\xff", 10_000),
			strings.Repeat("\x00", 100_000),
		} {
			sendRaw(address, text)
		}
	}
	for range 50 {
		sendRaw(vm.Caller, postRequest(complete, strings.Repeat("[", 1<<20)))
	}
	is.True(vm.SumMetrics("process_resident_memory_bytes") < maxResident) // memory target
	is.True(vm.SumMetrics(`tanagerlb_refusals_total{reason="http-413"}`) >= 1)
	a := testlib.Complete(vm.Caller, "school-12", "still there", 3)
	is.Equal(a.Outcome, "done")
}

// The caller port does not serve the operator interface.
func TestSeparatePorts(t *testing.T) {
	is := is.New(t)
	f := testlib.NewFleet(t, testlib.FleetConfig{VMs: 1})
	for _, path := range []string{"/v1/documents/lm-assist", "/v1/status", "/metrics", "/healthz"} {
		response, err := http.Get("http://" + f.VMs[0].Caller.String() + path)
		is.NoErr(err)
		_ = response.Body.Close()
		is.Equal(response.StatusCode, http.StatusNotFound)
	}
}

// The command exits with status 2 if a command or a required flag is missing, the
// command is unknown, or an input file is invalid. It exits with status 1 if a file
// does not exist, or if the operator's address is invalid or refuses the connection.
func TestCommandLine(t *testing.T) {
	binary := testlib.Build(t, "tanagerlb")
	for _, c := range []struct {
		args   string
		status int
		want   string
	}{
		{"--version", 0, "tanagerlb"},
		{"--help", 0, "Examples:"},
		{"serve --help", 0, "--settings"},
		{"", 2, "Examples:"},
		{"serve", 2, "required flag"},
		{"serve --settings no-such.yaml", 1, "no such file"},
		{"check ../docs/examples/a1.yaml", 0, "settings ok"},
		{"check ../docs/examples/lm-assist.yaml", 0, "document ok"},
		{"check ../internal/config/testdata/bad.yaml", 2, "bad.yaml:6:1: unknown key"},
		{"check ../pkg/spec/testdata/model.yaml", 2, "model.yaml:4:1: unknown key"},
		{"publish ../pkg/spec/testdata/model.yaml", 2, "model.yaml:4:1: unknown key"},
		{"publish --operator nonsense ../docs/examples/lm-assist.yaml", 1, "parse operator address"},
		{"status --operator 127.0.0.1:1", 1, "refused"},
		{"frobnicate", 2, "unknown command"},
	} {
		t.Run(c.args, func(t *testing.T) {
			is := is.New(t)
			command := exec.Command(binary, strings.Fields(c.args)...)
			out, _ := command.CombinedOutput()
			is.Equal(command.ProcessState.ExitCode(), c.status)
			if !strings.Contains(string(out), c.want) {
				t.Errorf("got %q, want %q", out, c.want)
			}
		})
	}
}
