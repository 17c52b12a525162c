package dissemination

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"bilberrylug.dev/core/delta"
	"bilberrylug.dev/core/store"
)

const (
	// minVersions and maxVersions bound the number of versions of the large value that are kept: the newest one, those that
	// other routers are still fetching, and those against which a newer one is compressed.
	minVersions = 2
	maxVersions = 16
	// maxVersionBytes bounds the size of the kept versions beyond minVersions.
	maxVersionBytes = 4 << 20
)

// versions holds the newest versions of the large value. The zero value is empty.
type versions struct {
	list []*version
}

// version is one version of the large value, with its compressed forms by the revision of the base.
type version struct {
	revision store.Revision
	value    []byte
	encoded  map[store.Revision]*encoding
}

// encoding is a compressed form of a value. It is made when it is first used.
type encoding struct {
	value []byte
	base  []byte

	once     sync.Once
	form     delta.Encoded
	checksum uint64
}

// get returns the compressed form and its checksum.
func (e *encoding) get() (delta.Encoded, uint64) {
	e.once.Do(func() {
		e.form = delta.Encode(e.value, e.base)
		e.checksum = xxhash.Sum64(e.form.Data)
	})
	return e.form, e.checksum
}

// newest returns the revision of the newest version, or zero.
func (v *versions) newest() store.Revision {
	if len(v.list) == 0 {
		return 0
	}
	return v.list[len(v.list)-1].revision
}

// add adds a version, and drops the oldest ones if there are too many.
func (v *versions) add(revision store.Revision, value []byte) {
	if revision <= v.newest() {
		return
	}
	v.list = append(v.list, &version{revision: revision, value: value, encoded: map[store.Revision]*encoding{}})
	for len(v.list) > maxVersions || len(v.list) > minVersions && v.bytes() > maxVersionBytes {
		v.list = v.list[1:]
	}
	for _, old := range v.list[:len(v.list)-1] {
		// The compressed forms of older versions are rarely needed again. They are the same when they are made anew.
		clear(old.encoded)
	}
}

func (v *versions) bytes() int {
	n := 0
	for _, held := range v.list {
		n += len(held.value)
	}
	return n
}

// get returns a version, or nil.
func (v *versions) get(revision store.Revision) *version {
	for _, held := range v.list {
		if held.revision == revision {
			return held
		}
	}
	return nil
}

// encoding returns the compressed form of a version for a router that has the version base, and the revision of the base that
// is used: zero if the base is not kept.
func (v *versions) encoding(of *version, base store.Revision) (*encoding, store.Revision) {
	var baseValue []byte
	if b := v.get(base); b != nil && base < of.revision {
		baseValue = b.value
	} else {
		base = 0
	}
	e, known := of.encoded[base]
	if !known {
		e = &encoding{value: of.value, base: baseValue}
		of.encoded[base] = e
	}
	return e, base
}
