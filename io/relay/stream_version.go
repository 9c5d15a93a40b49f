package relay

import (
	"time"

	"cicadabeam/core/fault"
	"cicadabeam/core/streamversion"
)

// retryAfterUnknownVersion is after what time a caller should retry whose stream can't go on as
// its software version is not known. A node that knows it may be back by then.
const retryAfterUnknownVersion = time.Second

// streamID identifies the caller's stream at a service: by the request that brought its first
// event, which is this one or an earlier one.
func (x *exchange) streamID(service string) streamversion.ID {
	request := x.meta.Resumes
	if request == "" {
		request = x.meta.ID
	}
	return streamversion.NewID(x.organisation.Name, service, request)
}

// findVersion finds the software version, and the service, that a stream is to go on at if its
// caller has received a part of it in an earlier request. It returns "" for a new stream.
func (x *exchange) findVersion() (string, *fault.Error) {
	if x.meta.Resumes == "" && x.meta.LastEventID == 0 {
		return "", nil
	}
	began := time.Now()
	from := "record"
	version, found := x.recordedVersion()
	if !found {
		from = "only version"
		version, found = x.h.StreamVersions.Only(x.ctx, x.service.Name)
	}
	f := Fields{
		"request": x.meta.ID, "resumes": x.meta.Resumes, "last": x.meta.LastEventID, "service": x.service.Name, "software": version, "found": found, "ms": ms(time.Since(began)),
	}
	if found {
		f["from"] = from
	}
	x.h.Recorder.Record("stream taken up", f)
	if !found {
		return "", notRunError(fault.StreamVersionUnknown, "choose", "it is not known which software version of the servers began this stream, and it can go on at no other one", retryAfterUnknownVersion)
	}
	return version, nil
}

// recordedVersion returns the version that is recorded for the stream. A stream that began at
// another service of the route goes on there.
func (x *exchange) recordedVersion() (string, bool) {
	if x.meta.Resumes == "" {
		return "", false
	}
	services := []string{x.service.Name}
	for _, t := range x.route.Targets {
		if t.Service != x.service.Name && t.Weight > 0 {
			services = append(services, t.Service)
		}
	}
	ids := make([]streamversion.ID, len(services))
	for i, s := range services {
		ids[i] = x.streamID(s)
	}
	i, version, found := x.h.StreamVersions.Find(x.ctx, ids)
	if found && i > 0 {
		x.setService(services[i])
	}
	return version, found
}

// bind records the software version of the server whose events the caller gets from now on.
func (s *stream) bind(version string) {
	s.bound = true
	s.rollout.Bind(version)
	if s.version != "" || version == "" {
		return
	}
	s.version = version
	s.h.StreamVersions.Begin(s.ctx, s.streamID(s.service.Name), version)
}
