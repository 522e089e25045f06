package harness

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"github.com/medlarswitch/medlarswitch/internal/standin"
)

// ControlLeaf makes a leaf fail or recover. The control endpoint of the stand-in
// documents the actions.
func (c *Cluster) ControlLeaf(id, action string, args ...string) error {
	return c.control("/leaf", append([]string{"id", id, "action", action}, args...))
}

// ControlStore makes the platform's store fail or recover.
func (c *Cluster) ControlStore(action string, args ...string) error {
	return c.control("/store", append([]string{"action", action}, args...))
}

// ControlVM changes a VM in the platform's VM list.
func (c *Cluster) ControlVM(id, action string) error {
	return c.control("/vm", []string{"id", id, "action", action})
}

func (c *Cluster) control(path string, args []string) error {
	q := url.Values{}
	for i := 0; i+1 < len(args); i += 2 {
		q.Set(args[i], args[i+1])
	}
	resp, err := c.http.Post(c.Fleet.ControlURL()+path+"?"+q.Encode(), "", nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return errors.Errorf("control %s %v: %s", path, args, text)
	}
	return nil
}

// Leaves returns the statistics of all leaves.
func (c *Cluster) Leaves() ([]standin.LeafStats, error) {
	resp, err := c.http.Get(c.Fleet.ControlURL() + "/leaves")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var out []standin.LeafStats
	return out, json.NewDecoder(resp.Body).Decode(&out)
}
