package settings

import (
	"net/url"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/tomldoc"
)

const (
	minPollInterval = 100 * time.Millisecond
	maxPollInterval = time.Minute
)

// Agent are the settings of medlar-agent.
type Agent struct {
	Common
	// Platform is the URL of the object store and the VM list.
	Platform string
	// PollInterval is the time between two reads of the VM list.
	PollInterval time.Duration
	// Peers are the addresses of other agents, which are used until the VM list
	// is known.
	Peers []string
}

func (a *Agent) read(t *tomldoc.Table) {
	a.Common.read(t)
	a.Platform = readPlatformURL(t, "platform")
	a.PollInterval, _ = t.Duration("poll_interval", minPollInterval, maxPollInterval)
	a.Peers = readAddresses(t, "peers")
	reportSharedAddresses(t, map[string]string{"admin": a.Admin, "agent": a.Agent}, "admin", "agent")
}

// readPlatformURL reads a URL of the form http://IP:port.
func readPlatformURL(t *tomldoc.Table, key string) string {
	s, ok := t.String(key)
	if !ok {
		return ""
	}
	u, err := url.Parse(s)
	if err == nil && u.Scheme == "http" && u.User == nil && (u.Path == "" || u.Path == "/") && u.RawQuery == "" && u.Fragment == "" {
		if addr, valid := tomldoc.ParseAddress(u.Host); valid {
			return "http://" + addr.String()
		}
	}
	t.Report(key, `is %q: expected a URL with an IP number and a port, such as "http://10.0.0.2:8080"`, s)
	return ""
}

func readAddresses(t *tomldoc.Table, key string) []string {
	var out []string
	for _, s := range t.Strings(key) {
		addr, ok := tomldoc.ParseAddress(s)
		if !ok {
			t.Report(key, `holds %q: expected addresses with an IP number and a port, such as "10.0.0.7:7100"`, s)
			continue
		}
		out = append(out, addr.String())
	}
	return out
}
