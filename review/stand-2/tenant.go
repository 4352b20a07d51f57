//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// outageTime is how long the store is down, and outageAfter when that begins.
	outageTime  = 8 * time.Second
	outageAfter = 5 * time.Second
	// calmTime is for how long the clients go on after the outage.
	calmTime = 5 * time.Second
	// keyedClients is the number of clients at each VM, and keyedPause the time between two requests
	// of one of them.
	keyedClients = 2
	keyedPause   = 100 * time.Millisecond
	tenantName   = "hule930"
	tenantKey    = "asnmgkcuyj8pjbvk9m68"
)

// tenants is added to the configuration, with a public route. The limits are those of the settings of
// the deployments with tenants.
const (
	tenants        = `,"tenants":[{"name":"hule930","apiKeys":["asnmgkcuyj8pjbvk9m68","k7b2ex5wa5xwyhks8nbk"],"priority":1,"unit":"token_count","plainTokens":200,"ratePerS":575435,"burst":575435}]`
	publicRoute    = `{"name":"open","hostname":"ficu95.example","pathPrefix":"/open/","kind":"unsafe","timeoutMs":4000,"targetLatencyMs":150,"priority":2,"service":"api","maxAttempts":1,"public":true},`
	tenantSettings = `bounds.failClosed=true
bounds.revokeMs=5000
bounds.quotaWindowS=8
bounds.quotaOvershoot=0.1
bounds.quotaSlack=110000
`
)

// playPublicTenant lets clients send requests with a key on a public route, while the store is down for a
// while. The replica gets the name of the key's tenant with each of them.
func playPublicTenant(f *fleet, trouble bool) bool {
	f.addPlain()
	end := time.Now().Add(outageAfter + outageTime + calmTime)
	var clients sync.WaitGroup
	for _, v := range f.vms {
		for i := range keyedClients {
			clients.Add(1)
			go f.keyedLoop(v, i, end, &clients)
		}
	}
	time.Sleep(outageAfter)
	if trouble {
		f.record("the store answers all calls with 503 for %s", outageTime)
		f.setStoreDown(true)
	}
	time.Sleep(outageTime)
	f.setStoreDown(false)
	f.record("the store answers")
	clients.Wait()
	return f.checkTenants()
}

func (f *fleet) keyedLoop(v *vm, client int, end time.Time, clients *sync.WaitGroup) {
	defer clients.Done()
	c := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for number := 1; time.Now().Before(end); number++ {
		r := request{id: fmt.Sprintf("open-%d-%d-%d", v.number, client, number), path: "/open/x", deadline: "4000", key: tenantKey}
		status := send(context.Background(), c, v, r)
		f.record("%s sent on the public route with the key of %s: status %d", r.id, tenantName, status)
		time.Sleep(keyedPause)
	}
}

// checkTenants checks the rule UNASKED for the tenants of the requests that ran.
func (f *fleet) checkTenants() bool {
	runs, wrong := 0, 0
	for _, a := range f.arrivals.Arrivals() {
		if !a.Ran || a.Form.Target != "/open/x" {
			continue
		}
		runs++
		if a.Tenant == tenantName && !a.Key {
			continue
		}
		wrong++
		f.record("%s ran at %s at %.3f s with the tenant %q; with the key: %t", a.Request, a.Replica, a.At.Sub(f.began).Seconds(), a.Tenant, a.Key)
	}
	f.record("%d requests with the key of %s ran, %d of them for another tenant or none", runs, tenantName, wrong)
	return wrong == 0
}
