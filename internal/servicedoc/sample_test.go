package servicedoc

import (
	"bytes"
	"fmt"
	"strings"
)

const zonesText = `kind = "zones"
[[zone]]
name = "osorno"
region = "south"
state = "in"
[[zone]]
name = "valdivia"
region = "south"
state = "out"
`

const indexText = `kind = "index"
index = "finder"
partition_generation = 3
[limits]
slots = 2
connections = 25
run_limit = "2s"
[[shard]]
name = "finder-0"
weight = 10
[[shard.leaf]]
name = "finder-0-a"
zone = "osorno"
address = "127.0.0.1:7001"
[[shard.leaf]]
name = "finder-0-b"
zone = "valdivia"
address = "127.0.0.1:7002"
`

const partText = `kind = "index"
index = "finder"
partition_generation = 3
[limits]
slots = 2
connections = 25
run_limit = "2s"
[[shard]]
name = "finder-1"
weight = 10
[[shard.leaf]]
name = "finder-1-a"
zone = "osorno"
address = "127.0.0.1:7003"
`

const classesText = `kind = "classes"
[[class]]
name = "lookup"
index = "finder"
scope = "all"
priority = 0
prefer = "latency"
latency_target = "80ms"
deadline = "200ms"
submits = true
`

const ownersText = `kind = "owners"
[[owner]]
section = "owners"
team = "platform"
[[owner]]
section = "index.*"
team = "search"
[[owner]]
section = "index.finder"
team = "courses"
`

func sample() []Section {
	return []Section{
		{Name: "classes", Text: []byte(classesText)},
		{Name: "index.finder.1", Text: []byte(indexText)},
		{Name: "index.finder.2", Text: []byte(partText)},
		{Name: "owners", Text: []byte(ownersText)},
		{Name: "zones", Text: []byte(zonesText)},
	}
}

// sampleWith returns the sample document with a text replaced in one section.
func sampleWith(section, old, text string) []Section {
	sections := sample()
	for i, s := range sections {
		if s.Name == section {
			sections[i].Text = []byte(strings.Replace(string(s.Text), old, text, 1))
		}
	}
	return sections
}

// largeDocument returns a document with one index of the given number of leaves,
// split into parts that stay below the size limit of a section.
func largeDocument(leaves int) []Section {
	sections := []Section{{Name: "zones", Text: []byte(zonesText)}}
	head, _, _ := strings.Cut(indexText, "[[shard]]")
	var text bytes.Buffer
	flush := func() {
		name := fmt.Sprintf("index.finder.%d", len(sections))
		sections = append(sections, Section{Name: name, Text: bytes.Clone(text.Bytes())})
		text.Reset()
	}
	for i := 0; i < leaves; i += 2 {
		if text.Len() == 0 {
			text.WriteString(head)
		}
		fmt.Fprintf(&text, "[[shard]]\nname = \"finder-%d\"\nweight = 10\n", i/2)
		for j, zone := range []string{"osorno", "valdivia"} {
			fmt.Fprintf(&text, "[[shard.leaf]]\nname = \"finder-%d-%d\"\nzone = %q\naddress = \"10.%d.%d.%d:7000\"\n",
				i/2, j, zone, (i+j)>>16, (i+j)>>8&255, (i+j)&255)
		}
		if text.Len() > MaxSectionBytes-1000 {
			flush()
		}
	}
	if text.Len() > 0 {
		flush()
	}
	return sections
}
