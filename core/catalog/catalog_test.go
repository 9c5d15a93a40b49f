package catalog_test

import (
	"math"
	"testing"

	"cicadabeam/core/catalog"
)

func TestMatchPrefersLongestPrefix(t *testing.T) {
	c := catalog.New(catalog.Spec{Routes: []catalog.Route{
		{Name: "short", Host: "shop.example", Prefix: "/a/"},
		{Name: "long", Host: "shop.example", Prefix: "/a/b/"},
		{Name: "other", Host: "books.example", Prefix: "/"},
	}})
	for _, x := range []struct{ host, path, want string }{
		{"shop.example", "/a/c", "short"},
		{"shop.example", "/a/b/c", "long"},
		{"shop.example", "/a/b", "short"},
		{"SHOP.example", "/a/b/", "long"},
		{"books.example", "/a/b/c", "other"},
		{"shop.example", "/b/", ""},
		{"nowhere.example", "/a/", ""},
	} {
		r, found := c.Match(x.host, x.path)
		if r.Name != x.want || found != (x.want != "") {
			t.Errorf("%s%s: route %q; want %q", x.host, x.path, r.Name, x.want)
		}
	}
}

func TestPickFollowsWeights(t *testing.T) {
	r := catalog.Route{Targets: []catalog.Target{{Service: "a", Weight: 900}, {Service: "b", Weight: 100}, {Service: "c", Weight: 0}}}
	const draws = 1000
	got := make(map[string]int)
	for i := range draws {
		got[r.Pick(float64(i)/draws)]++
	}
	if got["a"] != 900 || got["b"] != 100 {
		t.Errorf("picked %v; want 900 of a and 100 of b", got)
	}
	if s := (catalog.Route{}).Pick(0.5); s != "" {
		t.Errorf("Pick without targets returned %q; want an empty name", s)
	}
	if s := r.Pick(math.Nextafter(1, 0)); s != "b" {
		t.Errorf("Pick of the largest point below 1 returned %q; want b", s)
	}
}
