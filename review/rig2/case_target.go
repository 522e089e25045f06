package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/medlarswitch/medlarswitch/platform/standin"
)

// billingName is the service of a second route, whose prefix is longer than that of the
// first one and begins with it.
const (
	billingName   = "cobros"
	billingPrefix = rosterPrefix + "cobros/"
)

// targets are the targets of requests for the first route. With trouble, "%7C" is replaced
// by "|", which browsers leave as it is in a path.
var targets = []string{
	rosterPrefix + "ana%7Cjuan",
	rosterPrefix + "taller%2Fcucharas/ana%7Cjuan?semana=7",
	rosterPrefix + "cobros%2Fana%7Cjuan",
}

// requestTarget sends requests and compares their targets with those that leaves run, and
// the service that runs them with that of their route.
func requestTarget(r *rig) (string, error) {
	conf := rosterConfig()
	billing := conf.Routes[0]
	billing.Name, billing.PathPrefix, billing.Service = "billing", billingPrefix, billingName
	conf.Routes = append(conf.Routes, billing)
	conf.Services = append(conf.Services, service{Name: billingName, HealthPath: "/healthz", MaxConns: 110, WarmupS: 3})
	r.store.inner.Put("config", "main", conf)
	leaves := []*standin.Leaf{
		r.addLeaf("i-roster-1", rosterName, zones[0], standin.Behaviour{Body: []byte("bench 4")}),
		r.addLeaf("i-billing-1", billingName, zones[1], standin.Behaviour{Body: []byte("fee 12")}),
	}
	if err := r.addVMs(zones); err != nil {
		return "", err
	}
	sent := make(map[string]string)
	for i, target := range targets {
		if r.trouble {
			target = strings.ReplaceAll(target, "%7C", "|")
		}
		id := fmt.Sprintf("%016x", 0x9c41d07b00000000+uint64(i))
		sent[id] = target
		status, err := sendRaw(r.vms[i%len(r.vms)], id, target)
		r.log("request %s: GET %s answered: status %d, err %v", id, target, status, err)
	}
	var broken []string
	ran := 0
	for _, leaf := range leaves {
		for _, run := range leaf.Runs() {
			ran++
			r.log("leaf of %s runs %s: %s %s", leaf.Service, run.RequestID, run.Method, run.Target)
			if run.Target != sent[run.RequestID] {
				broken = append(broken, fmt.Sprintf("%s was sent as %s and ran as %s", run.RequestID, sent[run.RequestID], run.Target))
			}
			if leaf.Service != rosterName {
				broken = append(broken, fmt.Sprintf("%s was run by %s, its route is to %s", run.RequestID, leaf.Service, rosterName))
			}
		}
	}
	if ran == 0 {
		return "", fmt.Errorf("the leaves ran none of %d requests", len(targets))
	}
	return strings.Join(broken, "; "), nil
}

// sendRaw writes a request as it is and returns the status of the answer.
func sendRaw(v *vm, id, target string) (int, error) {
	conn, err := net.DialTimeout("tcp", v.callers, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(deadline)); err != nil {
		return 0, err
	}
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 4000\r\n\r\n", target, host, id); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}
