package stand

import (
	"net/http"
	"net/netip"
	"slices"
	"sync"
)

// ListedVM is an entry of the VM list. It holds the addresses at which callers and
// peers reach the VM.
type ListedVM struct {
	Name    string         `json:"name"`
	Zone    string         `json:"zone"`
	Caller  netip.AddrPort `json:"caller"`
	Peer    netip.AddrPort `json:"peer"`
	Leaving bool           `json:"leaving"`
}

// VMList is a fake of the platform's list of VMs. The list changes only through Set
// and the HTTP interface. A test can thus delay changes to show VMs an outdated
// list.
type VMList struct {
	faultInjector
	mux   *http.ServeMux
	mutex sync.Mutex
	vms   []ListedVM
}

// NewVMList returns a VM list with the given entries. Its HTTP interface:
//
//	GET  /vms      returns the list
//	POST /vms      replaces the list
//	POST /control  sets the Faults to inject
func NewVMList(vms ...ListedVM) *VMList {
	l := &VMList{mux: http.NewServeMux(), vms: vms}
	l.mux.HandleFunc("GET /vms", l.get)
	l.mux.HandleFunc("POST /vms", l.post)
	l.mux.HandleFunc("POST /control", l.control)
	return l
}

// ServeHTTP serves the HTTP interface that NewVMList describes.
func (l *VMList) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// Set replaces the list.
func (l *VMList) Set(vms ...ListedVM) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.vms = slices.Clone(vms)
}

func (l *VMList) get(w http.ResponseWriter, r *http.Request) {
	if !l.injectBefore(r) {
		return
	}
	l.mutex.Lock()
	vms := slices.Clone(l.vms)
	l.mutex.Unlock()
	writeJSON(w, vms)
}

func (l *VMList) post(w http.ResponseWriter, r *http.Request) {
	var vms []ListedVM
	if readJSON(w, r, &vms) {
		l.Set(vms...)
	}
}

func (l *VMList) control(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if readJSON(w, r, &faults) {
		l.set(faults)
	}
}
