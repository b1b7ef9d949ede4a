package model_test

import (
	"strings"
	"testing"

	"github.com/magnoliamount/magnoliamount/internal/model"
)

// Guards against two routes with one identifier, and against identifiers that daemons do not
// accept in a header field.
func TestRouteIDIsDistinctAndValid(t *testing.T) {
	routes := [][2]string{
		{"shop.example", "/place/"}, {"branch.example", "/place/"}, {"shop.example", "/place/a/"}, {"shop.example", "/placea/"},
		{"shop.example", "/PLACE/"}, {"", "/place/"}, {"shop.example/place", "/"}, {"shop.example", "/"}, {"", "/"},
		{"shop.example", "/" + strings.Repeat("long", 100) + "/"}, {"shop.example", "/" + strings.Repeat("long", 101) + "/"},
		{"shop.example", "/š/"}, {"shop.example", "/s%2F/"}, {"shop.example", "/a b\r\n/"},
	}
	seen := map[string][2]string{}
	for _, r := range routes {
		id := model.RouteID(r[0], r[1])
		if other, known := seen[id]; known {
			t.Errorf("routes %q and %q have the identifier %q", other, r, id)
		}
		seen[id] = r
		if len(id) > model.MaxNameLength || strings.Trim(id, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-") != "" {
			t.Errorf("the identifier %q of route %q cannot be sent", id, r)
		}
	}
}

// Guards against log lines that a name or a path of the configuration breaks or makes long.
func TestRouteTitleIsBounded(t *testing.T) {
	r := model.Route{Label: "a\n" + strings.Repeat("x", 1000), Host: "shop.example", PathPrefix: "/" + strings.Repeat("y", 1000)}
	if title := r.Title(); len(title) > 250 || strings.ContainsAny(title, "\n") {
		t.Errorf("the title is %q", title)
	}
	if title := (&model.Route{Name: "look", PathPrefix: "/look"}).Title(); title != `"look" ("/look")` {
		t.Errorf("the title is %s", title)
	}
}

// Guards against a route that is another one because an operator wrote its host in capitals.
func TestRouteIDIgnoresTheCaseOfTheHost(t *testing.T) {
	if model.RouteID("Shop.Example", "/a/") != model.RouteID("shop.example", "/a/") {
		t.Error("the case of the host changes the identifier")
	}
}
