package agentlink

import (
	"github.com/pkg/errors"

	"github.com/medlarswitch/medlarswitch/internal/confsync"
	"github.com/medlarswitch/medlarswitch/internal/message"
)

// verifySection returns the text of a fetched section if its hash is the one in the
// manifest.
func verifySection(push message.ConfigPush, ref confsync.SectionRef) ([]byte, error) {
	if !push.Found {
		return nil, errors.Errorf("the agent does not have section %q version %s", ref.Name, ref.EditID)
	}
	if confsync.HashText(push.Text) != ref.Hash {
		return nil, errors.Errorf("section %q version %s does not match the hash in the manifest", ref.Name, ref.EditID)
	}
	return push.Text, nil
}
