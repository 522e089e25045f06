package slopes

import (
	"bytes"
	"fmt"

	"github.com/medlarswitch/medlarswitch/internal/servicedoc"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Document returns the document of a service of the given size: one section for
// the zones and one for each index.
func Document(s Size) []servicedoc.Section {
	sections := []servicedoc.Section{zonesSection(s)}
	perIndex := s.Shards * s.Replicas
	for i := range s.Leaves / perIndex {
		sections = append(sections, indexSection(s, i))
	}
	return sections
}

// DocumentBytes returns the total length of the sections' texts.
func DocumentBytes(sections []servicedoc.Section) int {
	total := 0
	for _, s := range sections {
		total += len(s.Text)
	}
	return total
}

func zonesSection(s Size) servicedoc.Section {
	var text bytes.Buffer
	text.WriteString("kind = \"zones\"\n")
	for z := range s.Zones {
		fmt.Fprintf(&text, "[[zone]]\nname = %q\nregion = \"region-%d\"\nstate = \"in\"\n", zoneName(z), z*4/s.Zones)
	}
	return servicedoc.Section{Name: "zones", Text: text.Bytes()}
}

func indexSection(s Size, i int) servicedoc.Section {
	var text bytes.Buffer
	fmt.Fprintf(&text, "kind = \"index\"\nindex = \"finder-%03d\"\npartition_generation = 3\n", i)
	text.WriteString("[limits]\nslots = 2\nconnections = 25\nrun_limit = \"2s\"\n")
	for shard := range s.Shards {
		fmt.Fprintf(&text, "[[shard]]\nname = \"finder-%03d-%03d\"\nweight = 10\n", i, shard)
		for r := range s.Replicas {
			n := (i*s.Shards+shard)*s.Replicas + r
			fmt.Fprintf(&text, "[[shard.leaf]]\nname = \"finder-%03d-%03d-%c\"\nzone = %q\naddress = \"10.%d.%d.%d:7000\"\n",
				i, shard, 'a'+r, zoneName(n%s.Zones), n>>16, n>>8&255, n&255)
		}
	}
	return servicedoc.Section{Name: fmt.Sprintf("index.finder-%03d", i), Text: text.Bytes()}
}

func zoneName(z int) topology.Zone { return topology.Zone(fmt.Sprintf("zone-%d", z)) }
