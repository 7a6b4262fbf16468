// Package wal stores a control replica's state on disk: the log of Raft entries, the newest
// snapshot and the replica's identity. Data counts as stored only after both the file and its
// folder are synced.
//
// A record is a header of 20 bytes and a payload. The header holds a magic number, the payload's
// length and checksum, and a checksum of the header itself, so that a corrupted length is not
// mistaken for the end of the file.
package wal

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	magic      = 0x43505448
	headerSize = 20
	// maxRecordBytes bounds the length of a record. A longer length indicates corruption.
	maxRecordBytes = 64 << 20
)

type recordKind byte

const (
	kindBase recordKind = iota + 1
	kindEntry
	kindHardState
)

// DamageError reports that data on disk differs from what was written and synced. The replica must
// not run, because it may have lost a vote or an entry that other replicas rely on.
type DamageError struct {
	File   string
	Offset int64
	Reason string
}

// Error returns the location of the damage and the remedy.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d (%s); do not repair it by hand: move this data folder away, start the replica with an empty one, "+
		"and run `cactusctl replica replace` so that it returns as a new member", e.File, e.Offset, e.Reason)
}

// errTorn reports a record that was only partly written before a crash.
var errTorn = errors.New("torn record")

func appendRecord(out []byte, kind recordKind, payload []byte) []byte {
	start := len(out)
	out = append(out, make([]byte, headerSize)...)
	out = append(out, byte(kind))
	out = append(out, payload...)
	body := out[start+headerSize:]
	header := out[start : start+headerSize]
	binary.LittleEndian.PutUint32(header[0:], magic)
	binary.LittleEndian.PutUint32(header[4:], uint32(len(body)))
	binary.LittleEndian.PutUint64(header[8:], xxhash.Sum64(body))
	binary.LittleEndian.PutUint32(header[16:], uint32(xxhash.Sum64(header[:16])))
	return out
}

// readRecord reads the record at the start of data, which must extend to the end of the file.
//
// It returns errTorn for a record that extends past the end of the file or ends in zeros up to the
// end of the file: a crash interrupted the write before its sync. Any other mismatch is damage to
// data that may have been acknowledged.
func readRecord(data []byte) (kind recordKind, payload []byte, size int, err error) {
	if len(data) < headerSize {
		return 0, nil, 0, errTorn
	}
	header := data[:headerSize]
	if binary.LittleEndian.Uint32(header[16:]) != uint32(xxhash.Sum64(header[:16])) || binary.LittleEndian.Uint32(header[0:]) != magic {
		if endsInZeros(data) {
			return 0, nil, 0, errTorn
		}
		return 0, nil, 0, errors.New("record header does not match its checksum")
	}
	length := int(binary.LittleEndian.Uint32(header[4:]))
	if length == 0 || length > maxRecordBytes {
		return 0, nil, 0, errors.Newf("record length %d is out of range", length)
	}
	if len(data) < headerSize+length {
		return 0, nil, 0, errTorn
	}
	body := data[headerSize : headerSize+length]
	if binary.LittleEndian.Uint64(header[8:]) != xxhash.Sum64(body) {
		if endsInZeros(data) {
			return 0, nil, 0, errTorn
		}
		return 0, nil, 0, errors.New("record does not match its checksum")
	}
	return recordKind(body[0]), body[1:], headerSize + length, nil
}

// endsInZeros reports whether the last block of data is all zeros. File systems leave such a block
// when they extend a file before writing its data.
func endsInZeros(data []byte) bool {
	const sector = 512
	tail := data[max(0, len(data)-sector):]
	for _, b := range tail {
		if b != 0 {
			return false
		}
	}
	return true
}
