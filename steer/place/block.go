package place

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/go-faster/errors"
)

// Site is a location of callers: its name and the home region of its callers.
type Site struct {
	Name, Region string
}

// SiteTable maps address blocks to sites by the longest matching prefix. It is
// immutable, and a lookup allocates nothing.
type SiteTable struct {
	v4    ranges[uint32]
	v6    ranges[uint64]
	sites []Site
}

// Find returns the site of the address, and whether a block contains it.
func (b *SiteTable) Find(a netip.Addr) (Site, bool) {
	var site uint16
	if a = a.Unmap(); a.Is4() {
		q := a.As4()
		site = b.v4.find(binary.BigEndian.Uint32(q[:]))
	} else if a.Is6() {
		q := a.As16()
		site = b.v6.find(binary.BigEndian.Uint64(q[:8]))
	}
	if site == noSite {
		return Site{}, false
	}
	return b.sites[site-1], true
}

// Limits of a table.
const (
	// MaxSites and MaxBlocks are the maximum numbers of sites and blocks.
	MaxSites  = 1<<16 - 2
	MaxBlocks = 4_000_000
	// maxBits6 is the maximum prefix length of an IPv6 block.
	maxBits6 = 64
)

// noSite marks addresses outside all blocks. Sites are numbered from 1.
const noSite = 0

// Builder builds a [SiteTable] from sites and blocks. The zero value is empty.
type Builder struct {
	sites  []Site
	byName map[string]uint16
	v4     []span[uint32]
	v6     []span[uint64]
}

// AddSite adds a site. It fails if a site of that name exists or the table is
// full.
func (b *Builder) AddSite(s Site) error {
	if b.byName == nil {
		b.byName = make(map[string]uint16)
	}
	if _, ok := b.byName[s.Name]; ok {
		return errors.Errorf("add site %s: duplicate name", s.Name)
	}
	if len(b.sites) == MaxSites {
		return errors.Errorf("add site %s: table is full, want at most %d sites", s.Name, MaxSites)
	}
	b.sites = append(b.sites, s)
	b.byName[s.Name] = uint16(len(b.sites))
	return nil
}

// AddBlock adds a block to an existing site. It fails if the site is unknown, the
// table is full, or the prefix has host bits, is IPv4-mapped or is an IPv6 prefix
// of more than 64 bits.
func (b *Builder) AddBlock(p netip.Prefix, site string) error {
	n, ok := b.byName[site]
	switch {
	case !ok:
		return errors.Errorf("add block %v: unknown site %s", p, site)
	case p != p.Masked() || p.Addr().Is4In6():
		return errors.Errorf("add block %v: want a prefix without host bits that is not IPv4-mapped", p)
	case len(b.v4)+len(b.v6) == MaxBlocks:
		return errors.Errorf("add block %v: table is full, want at most %d blocks", p, MaxBlocks)
	case p.Addr().Is4():
		q := p.Addr().As4()
		b.v4 = append(b.v4, span[uint32]{binary.BigEndian.Uint32(q[:]), uint8(p.Bits()), n})
	case p.Bits() > maxBits6:
		return errors.Errorf("add block %v: want an IPv6 prefix of at most %d bits", p, maxBits6)
	default:
		q := p.Addr().As16()
		b.v6 = append(b.v6, span[uint64]{binary.BigEndian.Uint64(q[:8]), uint8(p.Bits()), n})
	}
	return nil
}

// Build returns the table. It fails if a block was added twice.
func (b *Builder) Build() (*SiteTable, error) {
	if err := sortSpans(b.v4); err != nil {
		return nil, err
	}
	if err := sortSpans(b.v6); err != nil {
		return nil, err
	}
	return &SiteTable{v4: flatten(b.v4), v6: flatten(b.v6), sites: slices.Clone(b.sites)}, nil
}

// address is an IPv4 address or the upper 64 bits of an IPv6 address.
type address interface{ uint32 | uint64 }

// span is a block: its first address, the bits of its prefix and its site.
type span[A address] struct {
	start      A
	prefixBits uint8
	site       uint16
}

// last returns the block's last address.
func (s span[A]) last() A { return s.start | ^A(0)>>s.prefixBits }

// sortSpans sorts the blocks by address so that each precedes those nested in it.
// It fails on a duplicate block.
func sortSpans[A address](list []span[A]) error {
	slices.SortFunc(list, func(a, b span[A]) int {
		return cmp.Or(cmp.Compare(a.start, b.start), cmp.Compare(a.prefixBits, b.prefixBits))
	})
	for i := 1; i < len(list); i++ {
		if a, b := list[i-1], list[i]; a.start == b.start && a.prefixBits == b.prefixBits {
			return errors.Errorf("build table: duplicate block %x with a prefix of %d bits", a.start, a.prefixBits)
		}
	}
	return nil
}
