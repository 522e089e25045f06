package agentlink

import (
	"github.com/pkg/errors"

	"github.com/medlarswitch/medlarswitch/internal/confsync"
	"github.com/medlarswitch/medlarswitch/internal/message"
)

// checkPush returns the text of a fetched section if it is the one asked for.
func checkPush(push message.ConfigPush, ref confsync.SectionRef) ([]byte, error) {
	if !push.Found {
		return nil, errors.Errorf("the agent does not hold section %q version %s", ref.Name, ref.EditID)
	}
	if confsync.HashText(push.Text) != ref.Hash {
		return nil, errors.Errorf("section %q version %s has another hash", ref.Name, ref.EditID)
	}
	return push.Text, nil
}
