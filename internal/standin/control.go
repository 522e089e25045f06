package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
)

// controlHandler returns the HTTP handler through which a test reads counters and
// injects faults:
//
//	GET  /leaves, /store, /runs?request=ID
//	POST /leaf?id=ID&action=stop|start|crash|cold|silent|loud|leave|stay|
//	  idle|honest|slow&ms=N|versions&list=1,2
//	POST /store?action=down|up|lose|delay&n=N
//	POST /vm?id=ID&action=remove|leaving|relay&address=ADDRESS
//
// A leaf is unresponsive from silent until loud, and reports a load of 0 from idle
// until honest.
func (s *Server) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /leaves", s.listLeaves)
	mux.HandleFunc("GET /store", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Store.Calls()) })
	mux.HandleFunc("GET /runs", s.listRuns)
	mux.HandleFunc("POST /leaf", s.controlLeaf)
	mux.HandleFunc("POST /store", s.controlStore)
	mux.HandleFunc("POST /vm", s.controlVM)
	return mux
}

func (s *Server) listLeaves(w http.ResponseWriter, _ *http.Request) {
	out := make([]LeafStats, 0, len(s.Leaves))
	for _, cfg := range s.fleet.Leaves {
		out = append(out, s.Leaves[cfg.ID].Stats())
	}
	writeJSON(w, out)
}

// listRuns writes how often each leaf started a non-idempotent request.
func (s *Server) listRuns(w http.ResponseWriter, r *http.Request) {
	out := make(map[string]int)
	for id, leaf := range s.Leaves {
		if n := leaf.Runs(r.URL.Query().Get("request")); n > 0 {
			out[id] = n
		}
	}
	writeJSON(w, out)
}

func (s *Server) controlLeaf(w http.ResponseWriter, r *http.Request) {
	leaf, ok := s.Leaves[r.URL.Query().Get("id")]
	if !ok {
		http.Error(w, "unknown leaf", http.StatusNotFound)
		return
	}
	action := r.URL.Query().Get("action")
	switch action {
	case "stop":
		leaf.Stop()
	case "start":
		leaf.Crash()
		if err := leaf.Start(); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
		}
	case "crash":
		leaf.Crash()
	case "cold":
		leaf.TurnCold()
	case "silent", "loud":
		leaf.SetUnresponsive(action == "silent")
	case "leave", "stay":
		leaf.SetLeaving(action == "leave")
	case "idle", "honest":
		leaf.SetReportsIdle(action == "idle")
	case "slow":
		leaf.SetSlow(time.Duration(intParam(r, "ms")) * time.Millisecond)
	case "versions":
		leaf.SetIndexVersions(parseVersions(r.URL.Query().Get("list")))
	default:
		http.Error(w, "unknown action", http.StatusBadRequest)
	}
}

func (s *Server) controlStore(w http.ResponseWriter, r *http.Request) {
	faults := s.Store.Faults()
	switch action := r.URL.Query().Get("action"); action {
	case "down", "up":
		faults.SetDown(action == "down")
	case "lose":
		faults.LoseReplies(intParam(r, "n"))
	case "delay":
		faults.SetDelay(time.Duration(intParam(r, "n")) * time.Millisecond)
	default:
		http.Error(w, "unknown action", http.StatusBadRequest)
	}
}

func (s *Server) controlVM(w http.ResponseWriter, r *http.Request) {
	id, action := r.URL.Query().Get("id"), r.URL.Query().Get("action")
	list, err := s.VMs.ListVMs(r.Context(), nil)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	var vms []*medlarv1.VM
	for _, vm := range list.Msg.GetVms() {
		if vm.GetId() == id && action == "remove" {
			continue
		}
		if vm.GetId() == id && action == "relay" {
			vm.RelayAddress = r.URL.Query().Get("address")
		} else if vm.GetId() == id {
			vm.Leaving = action == "leaving"
		}
		vms = append(vms, vm)
	}
	s.VMs.Set(vms)
}

func intParam(r *http.Request, name string) int {
	n, _ := strconv.Atoi(r.URL.Query().Get(name))
	return n
}

func parseVersions(list string) []uint64 {
	var out []uint64
	for _, part := range strings.Split(list, ",") {
		if v, err := strconv.ParseUint(part, 10, 64); err == nil {
			out = append(out, v)
		}
	}
	return out
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
