package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/gen/medlar/v1/medlarv1connect"
)

// Guards against one request that takes the memory of the entry: a long one, or a short one that is
// long once it is decompressed.
func TestLongRequestsOfCallersAreRefused(t *testing.T) {
	s := newBrokenEntry()
	server := httptest.NewServer(s.callerServer().Handler)
	t.Cleanup(server.Close)
	for name, option := range map[string]connect.ClientOption{
		"plain":      connect.WithProtoJSON(),
		"compressed": connect.WithSendGzip(),
	} {
		t.Run(name, func(t *testing.T) {
			client := medlarv1connect.NewQueryServiceClient(http.DefaultClient, server.URL, option)
			_, err := client.Query(context.Background(), connect.NewRequest(&medlarv1.QueryRequest{Text: strings.Repeat("x", maxRequestBytes)}))
			assert.Equal(t, connect.CodeOf(err), connect.CodeResourceExhausted, "%v", err)
		})
	}
}

// Guards against heads without a limit and connections that stay open for ever.
func TestHeadsOfCallersAreLimited(t *testing.T) {
	server := newBrokenEntry().callerServer()
	assert.Assert(t, server.ReadHeaderTimeout > 0 && server.IdleTimeout > 0)
	assert.Assert(t, server.MaxHeaderBytes > 0 && server.MaxHeaderBytes <= 64<<10)
}
