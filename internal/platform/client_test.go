package platform

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/gen/medlar/v1/medlarv1connect"
	"github.com/medlarswitch/medlarswitch/internal/errs"
)

// fakePlatform answers each call with the error that fail returns, or with success
// if that is nil.
type fakePlatform struct {
	medlarv1connect.UnimplementedObjectStoreHandler
	medlarv1connect.UnimplementedVMListHandler
	fail func() error
}

func (f *fakePlatform) Get(context.Context, *connect.Request[medlarv1.GetRequest]) (*connect.Response[medlarv1.GetResponse], error) {
	return connect.NewResponse(&medlarv1.GetResponse{}), f.fail()
}

func (f *fakePlatform) Put(context.Context, *connect.Request[medlarv1.PutRequest]) (*connect.Response[medlarv1.PutResponse], error) {
	return connect.NewResponse(&medlarv1.PutResponse{Version: 8}), f.fail()
}

func (f *fakePlatform) Watch(context.Context, *connect.Request[medlarv1.WatchRequest]) (*connect.Response[medlarv1.GetResponse], error) {
	return connect.NewResponse(&medlarv1.GetResponse{Version: 7}), f.fail()
}

func (f *fakePlatform) ListVMs(context.Context, *connect.Request[medlarv1.ListVMsRequest]) (*connect.Response[medlarv1.ListVMsResponse], error) {
	return connect.NewResponse(&medlarv1.ListVMsResponse{Version: 3}), f.fail()
}

// newTestClient starts a fake and returns a client of it. The timeout of each call is sent
// to limits.
func newTestClient(t *testing.T, fail func() error) (c *Client, limits chan time.Duration) {
	f := &fakePlatform{fail: fail}
	mux := http.NewServeMux()
	mux.Handle(medlarv1connect.NewObjectStoreHandler(f))
	mux.Handle(medlarv1connect.NewVMListHandler(f))
	limits = make(chan time.Duration, 10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ms, _ := strconv.Atoi(r.Header.Get("Connect-Timeout-Ms"))
		limits <- time.Duration(ms) * time.Millisecond
		mux.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	return NewClient(server.URL, "team"), limits
}

const watchWait = 900 * time.Millisecond

var calls = map[string]func(ctx context.Context, c *Client) (version uint64, err error){
	"get": func(ctx context.Context, c *Client) (uint64, error) {
		o, err := c.Get(ctx, "key")
		return o.Version, err
	},
	"put": func(ctx context.Context, c *Client) (uint64, error) { return c.Put(ctx, "key", []byte("v"), 7) },
	"watch": func(ctx context.Context, c *Client) (uint64, error) {
		o, err := c.Watch(ctx, "key", 6, watchWait)
		return o.Version, err
	},
	"vms": func(ctx context.Context, c *Client) (uint64, error) {
		view, err := c.VMs(ctx)
		return view.Version, err
	},
}

// Guards against a failure that is returned as success, a write of unknown outcome
// that is reported as a conflict or as refused, and an error without step or peer.
func TestFaults(t *testing.T) {
	code := func(c connect.Code) func() error {
		return func() error { return connect.NewError(c, errors.New("fault")) }
	}
	rows := map[string]struct {
		fail   func() error
		reason errs.Reason
		// put is the error of a put if this fault shows that it was not applied.
		put error
	}{
		"other version":   {fail: code(connect.CodeFailedPrecondition), reason: errs.ReasonConnectionLost, put: ErrConflict},
		"refused":         {fail: code(connect.CodePermissionDenied), reason: errs.ReasonConnectionLost, put: ErrRefused},
		"too large":       {fail: code(connect.CodeInvalidArgument), reason: errs.ReasonConnectionLost, put: ErrRefused},
		"503":             {fail: code(connect.CodeUnavailable), reason: errs.ReasonConnectionLost},
		"500":             {fail: code(connect.CodeInternal), reason: errs.ReasonConnectionLost},
		"late":            {fail: code(connect.CodeDeadlineExceeded), reason: errs.ReasonDeadline},
		"aborted":         {fail: code(connect.CodeAborted), reason: errs.ReasonConnectionLost},
		"connection lost": {fail: func() error { panic(http.ErrAbortHandler) }, reason: errs.ReasonConnectionLost},
	}
	for name, row := range rows {
		for method, call := range calls {
			c, _ := newTestClient(t, row.fail)
			version, err := call(context.Background(), c)
			assert.Equal(t, version, uint64(0))
			if row.put != nil && method == "put" {
				assert.Assert(t, errors.Is(err, row.put), "%v", err)
				continue
			}
			var e *errs.Error
			assert.Assert(t, errors.As(err, &e), "%s of %s: %v", name, method, err)
			assert.Assert(t, !errors.Is(err, ErrConflict) && !errors.Is(err, ErrRefused) && !e.NotRun)
			assert.Equal(t, e.Reason, row.reason, "%s of %s", name, method)
			assert.Equal(t, e.Step, errs.StepStore)
			assert.Equal(t, e.Peer, c.url)
		}
	}
}

// Guards against a call without a timeout, which would block its caller for as
// long as the store doesn't answer.
func TestCallsAreBounded(t *testing.T) {
	want := map[string]uint64{"get": 0, "put": 8, "watch": 7, "vms": 3}
	for method, call := range calls {
		c, limits := newTestClient(t, func() error { return nil })
		version, err := call(context.Background(), c)
		assert.NilError(t, err)
		assert.Equal(t, version, want[method])
		longest := callTimeout
		if method == "watch" {
			longest += watchWait
		}
		limit := <-limits
		assert.Assert(t, limit > 0 && limit <= longest, "%s: limit %s", method, limit)
	}
}

// Guards against a call that waits for a slow store after its context was
// cancelled.
func TestCallEndsWithItsCaller(t *testing.T) {
	for method, call := range calls {
		ctx, cancel := context.WithCancel(context.Background())
		release := make(chan struct{})
		c, _ := newTestClient(t, func() error { cancel(); <-release; return nil })
		_, err := call(ctx, c)
		close(release)
		assert.Assert(t, err != nil && !errors.Is(err, ErrConflict), method)
	}
}
