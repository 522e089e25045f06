package main

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"connectrpc.com/connect"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/gen/medlar/v1/medlarv1connect"
	"github.com/medlarswitch/medlarswitch/internal/command"
	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/standin"
)

// fakeEntry answers requests of class "finder", refuses other classes, and always
// issues the ticket "T".
type fakeEntry struct {
	medlarv1connect.UnimplementedQueryServiceHandler
	medlarv1connect.UnimplementedAdminServiceHandler
}

func refusal() error {
	return errs.ToConnect(errs.New(errs.StepPlan, "entry vm-1", errs.ReasonInvalid, true, "no such class"), errs.StepPlan, "entry vm-1")
}

func (fakeEntry) Query(_ context.Context, req *connect.Request[medlarv1.QueryRequest]) (*connect.Response[medlarv1.QueryResponse], error) {
	if req.Msg.GetClass() != "finder" {
		return nil, refusal()
	}
	return connect.NewResponse(&medlarv1.QueryResponse{RequestId: "r", Hits: []*medlarv1.Hit{{Key: "k"}}}), nil
}

func (fakeEntry) BeginSubmit(context.Context, *connect.Request[medlarv1.BeginSubmitRequest]) (*connect.Response[medlarv1.BeginSubmitResponse], error) {
	return connect.NewResponse(&medlarv1.BeginSubmitResponse{Ticket: "T"}), nil
}

func (fakeEntry) Submit(_ context.Context, req *connect.Request[medlarv1.SubmitRequest]) (*connect.Response[medlarv1.SubmitResponse], error) {
	if req.Msg.GetClass() != "finder" {
		return nil, refusal()
	}
	return connect.NewResponse(&medlarv1.SubmitResponse{Outcome: medlarv1.SubmitOutcome_SUBMIT_OUTCOME_NOT_RUN, Reason: "upstream-cold"}), nil
}

func (fakeEntry) Status(context.Context, *connect.Request[medlarv1.StatusRequest]) (*connect.Response[medlarv1.StatusResponse], error) {
	return connect.NewResponse(&medlarv1.StatusResponse{Vm: "vm-1", Generation: 1, Leaves: []*medlarv1.LeafStatus{{Leaf: "l", State: "cold"}}}), nil
}

func (fakeEntry) Events(context.Context, *connect.Request[medlarv1.EventsRequest]) (*connect.Response[medlarv1.EventsResponse], error) {
	return connect.NewResponse(&medlarv1.EventsResponse{Events: []*medlarv1.Event{{Kind: "started", Vm: "vm-1"}}}), nil
}

// fakes holds a fake platform and a fake entry that share one address.
type fakes struct {
	t     *testing.T
	host  string
	dir   string
	store *standin.Store
}

func startFakes(t *testing.T) *fakes {
	f := &fakes{t: t, dir: t.TempDir(), store: standin.NewStore()}
	vms := standin.NewVMList(f.store.Faults())
	mux := http.NewServeMux()
	mux.Handle(medlarv1connect.NewObjectStoreHandler(f.store))
	mux.Handle(medlarv1connect.NewVMListHandler(vms))
	mux.Handle(medlarv1connect.NewQueryServiceHandler(fakeEntry{}))
	mux.Handle(medlarv1connect.NewAdminServiceHandler(fakeEntry{}))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	f.host = strings.TrimPrefix(server.URL, "http://")
	vms.Set([]*medlarv1.VM{{Id: "vm-1", Zone: "osorno", AdminAddresses: []string{f.host}}})
	return f
}

// file writes the text of a section to a file and returns its path.
func (f *fakes) file(name, text string) string {
	path := filepath.Join(f.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// run runs a command line and returns its output, error message and exit code.
func (f *fakes) run(args ...string) (out, message string, code int) {
	app := newApp()
	var buf bytes.Buffer
	app.Writer, app.ErrWriter = &buf, &buf
	full := append([]string{"medlarctl", "--platform", "http://" + f.host, "--team", "operations"}, args...)
	err := app.Run(context.Background(), full)
	if err != nil {
		message = err.Error()
	}
	return buf.String(), message, command.ExitCode(err)
}
