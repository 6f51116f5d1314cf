package route

import "testing"

func ownBook() *Book {
	return &Book{Config: Config{
		Routes: []Route{
			{Name: "all", Host: "a.example", Prefix: "/", Service: "one"},
			{Name: "shop", Host: "a.example", Prefix: "/shop/", Service: "two"},
			{Name: "deep", Host: "a.example", Prefix: "/shop/deep/", Split: []Share{{"two", 10}, {"one", 90}}},
			{Name: "other", Host: "b.example", Prefix: "/shop/", Service: "two"}},
		Services: []Service{{Name: "one"}, {Name: "two"}},
		Tenants:  []Tenant{{Name: "t", Keys: []string{"k1", "k2"}}, {Name: "u", Keys: []string{"k3"}}}}}
}

// The longest prefix of the host wins.
func TestFind(test *testing.T) {
	index := NewIndex(ownBook())
	for _, ask := range []struct{ host, path, name string }{
		{"a.example", "/", "all"}, {"a.example", "/shop", "all"}, {"a.example", "/shop/", "shop"}, {"a.example", "/shop/x", "shop"}, {"a.example", "/shop/deep", "shop"},
		{"a.example", "/shop/deep/x", "deep"}, {"a.example", "/shop//deep/", "shop"}, {"a.example", "/SHOP/", "all"}, {"a.example", "/%73hop/", "all"}, {"a.example", "/x/shop/deep/", "all"},
		{"b.example", "/shop/x", "other"}, {"b.example", "/", ""}, {"c.example", "/shop/", ""}, {"", "/", ""}, {"a.example", "", ""}, {"a.example", "*", ""},
	} {
		found, is := index.Find(ask.host, ask.path)
		if is != (ask.name != "") || is && found.Name != ask.name {
			test.Errorf("%s%s: %v", ask.host, ask.path, found)
		}
	}
}

// Routes know their services by number, with weights added up.
func TestCompiled(test *testing.T) {
	index := NewIndex(ownBook())
	found, _ := index.Find("a.example", "/shop/deep/x")
	if found.Services[0] != 1 || found.Services[1] != 0 || found.Cumulative[0] != 10 || found.Cumulative[1] != 100 {
		test.Errorf("%v %v", found.Services, found.Cumulative)
	}
	for name, want := range map[string]int{"one": 0, "two": 1, "three": -1} {
		if number, is := index.ServiceIndex(name); is != (want >= 0) || is && number != want {
			test.Errorf("%s is %d", name, number)
		}
	}
}

func TestTenantOf(test *testing.T) {
	index := NewIndex(ownBook())
	for key, want := range map[string]string{"k1": "t", "k2": "t", "k3": "u", "k4": "", "": "", "K1": ""} {
		if tenant, is := index.TenantOf(key); is != (want != "") || is && tenant.Name != want {
			test.Errorf("%q is of %v", key, tenant)
		}
	}
}

// A route to a service that nobody declared leads nowhere, not to another service.
func TestUnknownServiceOfRoute(test *testing.T) {
	book := ownBook()
	book.Config.Routes = append(book.Config.Routes, Route{Name: "lost", Host: "c.example", Prefix: "/", Service: "three"},
		Route{Name: "half", Host: "d.example", Prefix: "/", Split: []Share{{"three", 50}, {"two", 50}}})
	index := NewIndex(book)
	if found, is := index.Find("c.example", "/"); is {
		test.Errorf("leads to %v", found.Services)
	}
	if found, is := index.Find("d.example", "/"); !is || len(found.Services) != 1 || found.Services[0] != 1 || found.Cumulative[0] != 50 {
		test.Errorf("leads to %v", found)
	}
}
