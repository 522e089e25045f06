package standin

import (
	"context"
	"net"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/medlarswitch/medlarswitch/gen/medlar/v1/medlarv1connect"
)

// Server runs all stand-ins of one fleet in one process.
type Server struct {
	Store  *Store
	VMs    *VMList
	Leaves map[string]*Leaf
	fleet  *Fleet
}

// NewServer returns a server that doesn't listen yet.
func NewServer(fleet *Fleet) *Server {
	s := &Server{Store: NewStore(), Leaves: make(map[string]*Leaf), fleet: fleet}
	s.VMs = NewVMList(s.Store.Faults())
	s.VMs.Set(fleet.VMs)
	for _, section := range fleet.Sections {
		s.Store.Restrict("section/"+section.Name+"/", section.Team)
	}
	for _, cfg := range fleet.Leaves {
		s.Leaves[cfg.ID] = NewLeaf(cfg)
	}
	return s
}

// Run serves until the context is done.
func (s *Server) Run(ctx context.Context) error {
	for _, leaf := range s.Leaves {
		if err := leaf.Start(); err != nil {
			return err
		}
		defer leaf.Stop()
	}
	platform := http.NewServeMux()
	platform.Handle(medlarv1connect.NewObjectStoreHandler(s.Store))
	platform.Handle(medlarv1connect.NewVMListHandler(s.VMs))
	platformServer, err := listen(s.fleet.PlatformURL(), platform)
	if err != nil {
		return err
	}
	defer platformServer.Close()
	controlServer, err := listen(s.fleet.ControlURL(), s.controlHandler())
	if err != nil {
		return err
	}
	defer controlServer.Close()
	<-ctx.Done()
	return nil
}

func listen(url string, h http.Handler) (*http.Server, error) {
	ln, err := net.Listen("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", url)
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(ln) }()
	return server, nil
}
