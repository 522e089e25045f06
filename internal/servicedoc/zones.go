package servicedoc

import (
	"github.com/medlarswitch/medlarswitch/internal/tomldoc"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

const (
	zoneIn  = "in"
	zoneOut = "out"
)

func (c *checker) checkZones(p *parsedSection) {
	c.zonesLine = p.root.LineOf("zone")
	for _, t := range p.root.Tables("zone") {
		c.checkZone(p, t)
		t.ReportUnknownKeys()
	}
	c.zonesInvalid = len(p.doc.Problems()) > 0
}

func (c *checker) checkZone(p *parsedSection, t *tomldoc.Table) {
	id, idOK := readName(t, "name")
	region, regionOK := readName(t, "region")
	state, stateOK := t.Choice("state", zoneIn, zoneOut)
	if !idOK || !recordUnique(c.zonePositions, topology.Zone(id), p, t, "name") {
		return
	}
	if !regionOK || !stateOK {
		return
	}
	c.topo.Zones[topology.Zone(id)] = topology.ZoneState{
		Name: topology.Zone(id), Region: region, OutOfService: state == zoneOut,
	}
}
