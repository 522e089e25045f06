package platform

// KeyManifest is the object that names the version of every section.
const KeyManifest = "manifest"

// KeySection returns the key of one immutable version of a section.
func KeySection(name, editID string) string { return "section/" + name + "/" + editID }

// KeyEvictions returns the key of the VMs of a zone whose word is no longer
// needed for a cold lease.
func KeyEvictions(zone string) string { return "evictions/" + zone }
