package servicedoc

import (
	"github.com/medlarswitch/medlarswitch/internal/tomldoc"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

const (
	zoneIn  = "in"
	zoneOut = "out"
)

func (c *checker) zones(p *parsed) {
	c.zonesLine = p.root.LineOf("zone")
	for _, t := range p.root.Tables("zone") {
		c.zone(p, t)
		t.ReportUnknownKeys()
	}
	c.zoneFaults = len(p.doc.Problems()) > 0
}

func (c *checker) zone(p *parsed, t *tomldoc.Table) {
	id, idOK := name(t, "name")
	region, regionOK := name(t, "region")
	state, stateOK := t.Choice("state", zoneIn, zoneOut)
	if !idOK || !unique(c.zonePlace, topology.Zone(id), p, t, "name") {
		return
	}
	if !regionOK || !stateOK {
		return
	}
	c.topo.Zones[topology.Zone(id)] = topology.ZoneState{
		Name: topology.Zone(id), Region: region, OutOfService: state == zoneOut,
	}
}
