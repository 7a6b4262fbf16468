package estate

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/jsonc"
)

// Limits on the client accounts of a text. Some are exported for adapters that clamp
// values of other formats.
const (
	maxAccounts       = 10_000
	maxKeysPerAccount = 64
	// MaxAccountRequestsPerSecond and MaxAccountBurst bound a usage cap.
	MaxAccountRequestsPerSecond = 10_000_000
	MaxAccountBurst             = 100_000_000
)

// KeyDigest returns the digest of a client account's key by which the estate text names
// the key, so that no text, log or node holds the key itself.
func KeyDigest(key string) [sha256.Size]byte { return sha256.Sum256([]byte(key)) }

// readAccounts reads the client accounts into doc.
func readAccounts(n jsonc.Node, doc *Document) {
	doc.Accounts = map[string]*apiv1.AccountSpec{}
	members := n.Members()
	if len(members) > maxAccounts {
		n.Fail(fmt.Sprintf("%d accounts, more than the %d allowed", len(members), maxAccounts), "split the institution's text")
		return
	}
	nodes := map[string]jsonc.Node{}
	for _, m := range members {
		if !ValidName(m.Name) {
			m.Key.Fail(fmt.Sprintf("%q is not a valid account name", m.Name), NameRemedy)
			continue
		}
		nodes[m.Name] = m.Value
		doc.Accounts[m.Name] = readAccount(m.Value)
	}
	checkSharedKeys(doc, nodes)
}

func readAccount(n jsonc.Node) *apiv1.AccountSpec {
	spec := &apiv1.AccountSpec{}
	n.Object(map[string]func(jsonc.Node){
		"keyDigests":        func(n jsonc.Node) { spec.KeyDigests = readKeyDigests(n) },
		"requestsPerSecond": func(n jsonc.Node) { spec.RequestsPerSecond = n.Float(0, MaxAccountRequestsPerSecond) },
		"burst":             func(n jsonc.Node) { spec.Burst = n.Float(0, MaxAccountBurst) },
		"priority": func(n jsonc.Node) {
			priority := uint32(n.Uint(0, MaxPriority))
			spec.Priority = &priority
		},
	})
	return spec
}

// readKeyDigests reads the digests of an account's keys, without duplicates. Its messages
// do not repeat the value, which may be a key that was written by mistake.
func readKeyDigests(n jsonc.Node) [][]byte {
	elements := n.Elements()
	if len(elements) > maxKeysPerAccount {
		n.Fail(fmt.Sprintf("%d keys, more than the %d allowed", len(elements), maxKeysPerAccount), "remove keys that are no longer used")
		return nil
	}
	var digests [][]byte
	for _, e := range elements {
		digest, err := hex.DecodeString(e.String())
		if err != nil || len(digest) != sha256.Size {
			e.Fail("not the digest of a key", "write the 64 hexadecimal digits that `cactusctl key-digest` prints for the key")
			continue
		}
		digests = append(digests, digest)
	}
	slices.SortFunc(digests, bytes.Compare)
	return slices.CompactFunc(digests, bytes.Equal)
}

// checkSharedKeys reports two accounts with the same key, since it would be undefined
// which of them a request belongs to.
func checkSharedKeys(doc *Document, nodes map[string]jsonc.Node) {
	owners := map[[sha256.Size]byte]string{}
	for _, name := range slices.Sorted(maps.Keys(doc.Accounts)) {
		for _, digest := range doc.Accounts[name].KeyDigests {
			key := [sha256.Size]byte(digest)
			if other, exists := owners[key]; exists {
				nodes[name].Fail(fmt.Sprintf("accounts %q and %q have the same key", other, name), "give one of them another key")
				continue
			}
			owners[key] = name
		}
	}
}
