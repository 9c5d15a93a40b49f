package inifile

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Section reads the keys of one section and records problems with their values.
type Section struct {
	document *Document
	section  *ini.Section
	name     string
}

// Name returns the section's name without its kind, or "" for a section without one.
func (s *Section) Name() string { return s.name }

// AddProblem records a problem with the value of key. If key is "", the problem is with
// the section.
func (s *Section) AddProblem(key, format string, args ...any) {
	s.document.addProblem(s.section.Name(), key, fmt.Sprintf(format, args...))
}

// Value returns the value of key, or fallback if the key is absent.
func (s *Section) Value(key, fallback string) string {
	s.document.addKnownSection(s.section.Name())
	s.document.knownKeys[s.section.Name()][key] = true
	if !s.section.HasKey(key) {
		return fallback
	}
	return s.section.Key(key).Value()
}

// Required returns the value of key and records a problem if it is absent or empty.
func (s *Section) Required(key string) string {
	v := s.Value(key, "")
	if v == "" {
		s.AddProblem(key, "is missing")
	}
	return v
}

// OneOf returns the value of key, which must be one of allowed.
func (s *Section) OneOf(key, fallback string, allowed ...string) string {
	v := s.Value(key, fallback)
	if !slices.Contains(allowed, v) {
		s.AddProblem(key, "is %q; allowed are %s", v, strings.Join(allowed, ", "))
		return fallback
	}
	return v
}

// Bool returns the value of key, which must be yes or no.
func (s *Section) Bool(key string, fallback bool) bool {
	names := map[bool]string{true: "yes", false: "no"}
	return s.OneOf(key, names[fallback], "yes", "no") == "yes"
}

// Int returns the value of key, which must be an integer from low to high.
func (s *Section) Int(key string, fallback, low, high int) int {
	v := s.Value(key, "")
	if v == "" {
		return fallback
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < low || n > high {
		s.AddProblem(key, "is %q; allowed is an integer from %d to %d", v, low, high)
		return fallback
	}
	return n
}

// Duration returns the value of key, which must be a duration such as 250ms or 3s from low
// to high.
func (s *Section) Duration(key string, fallback, low, high time.Duration) time.Duration {
	v := s.Value(key, "")
	if v == "" {
		return fallback
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < low || d > high {
		s.AddProblem(key, "is %q; allowed is a time from %v to %v", v, low, high)
		return fallback
	}
	return d
}

// Address returns the value of key, which must be an IP address with a port. An absent
// key is a problem only if required is true.
func (s *Section) Address(key string, required bool) string {
	v := s.Value(key, "")
	if v == "" && !required {
		return ""
	}
	if _, err := netip.ParseAddrPort(v); err != nil {
		s.AddProblem(key, "is %q; allowed is an IP address with a port, such as 10.0.0.1:8080", v)
	}
	return v
}

// URL returns the value of key, which must be an http or https URL whose host is an IP
// address. A trailing slash is removed.
func (s *Section) URL(key string) string {
	v := s.Required(key)
	if v == "" {
		return v
	}
	u, err := url.Parse(v)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		s.AddProblem(key, "is %q; allowed is a URL such as http://10.0.0.1:9000", v)
		return v
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		s.AddProblem(key, "is %q; its host must be an IP address", v)
	}
	return strings.TrimSuffix(v, "/")
}

// List returns the comma-separated values of key without empty ones.
func (s *Section) List(key string) []string {
	var all []string
	for _, v := range strings.Split(s.Value(key, ""), ",") {
		v = strings.TrimSpace(v)
		if v != "" {
			all = append(all, v)
		}
	}
	return all
}
