package platform

// KeyManifest is the key of the manifest, which names the version of every section.
const KeyManifest = "manifest"

// KeySection returns the key of one immutable version of a section.
func KeySection(name, editID string) string { return "section/" + name + "/" + editID }

// KeyEvictions returns the key of a zone's evictions: the VMs whose
// acknowledgements a cold lease no longer requires.
func KeyEvictions(zone string) string { return "evictions/" + zone }
