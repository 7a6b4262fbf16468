package process

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/internal/controlclient"
	"cactuspath/internal/settings"
	"cactuspath/internal/transport"
	"cactuspath/internal/wal"
)

const logStatusTimeout = 2 * time.Second

// Init writes the identity into the data folder of a founding replica. It fails if
// another founder responds with a log that already has entries. In that case the group
// is not new, and this replica has lost its previous disk: with the same id and an
// empty disk, it could contradict votes and acknowledgements that it gave before.
func Init(ctx context.Context, s *settings.Settings) error {
	if s.Control == nil {
		return errors.New("the settings have no control block; init is for control replicas only")
	}
	if len(s.Control.Founders) == 0 {
		return errors.New(`the settings name no founders; add "founders": {"NAME": "ADDRESS", …} to the control block`)
	}
	security, err := transport.NewSecurity(s.TLS)
	if err != nil {
		return err
	}
	client := controlclient.New(security, nil, "")
	id := wal.Identity{MemberID: FounderID(s.Control.Name), Name: s.Control.Name, Founders: map[string]wal.Member{}}
	for name, address := range s.Control.Founders {
		id.Founders[name] = wal.Member{ID: FounderID(name), Address: address}
		if name != s.Control.Name {
			if err := refuseIfLogExists(ctx, client, name, address); err != nil {
				return err
			}
		}
	}
	return wal.WriteIdentity(s.Control.DataFolder, id)
}

func refuseIfLogExists(ctx context.Context, client *controlclient.Client, name, address string) error {
	ctx, cancel := context.WithTimeout(ctx, logStatusTimeout)
	defer cancel()
	resp, err := client.At(address).Log.LogStatus(ctx, connect.NewRequest(&apiv1.LogStatusRequest{}))
	if err != nil {
		// The founder does not respond, as at the first start of a cluster.
		return nil
	}
	if resp.Msg.Commit > 0 {
		return errors.Newf("founder %s at %s already holds changes, so this cluster has been started before; start this replica with its empty data folder "+
			"and run `cactusctl replica replace` so that it returns as a new member", name, address)
	}
	return nil
}
