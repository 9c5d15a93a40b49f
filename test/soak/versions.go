package soak

import "regexp"

const (
	// Seeds from firstSeedWithVersions to before lastSeedWithVersions have servers of two software
	// versions.
	firstSeedWithVersions = 5000
	lastSeedWithVersions  = 6000
	// maxMixedStreams is how many streams may hold events of servers of two versions.
	maxMixedStreams = 2
	// maxAttempts is how often a caller sends a stream that is truncated.
	maxAttempts = 3
)

// versionLine is the line of an event that names the version of its server.
var versionLine = regexp.MustCompile(`version: (\S+)\n`)

// softwareVersion returns the version of a server by its number.
func softwareVersion(seed uint64, n int) string {
	if seed < firstSeedWithVersions || seed >= lastSeedWithVersions || n%2 == 0 {
		return "v1"
	}
	return "v1.1"
}

// checkVersions checks that streams hold events of servers of one version.
func (c *checker) checkVersions(results []Result) {
	versions := make(map[string]map[string]bool)
	takenUp, wentOn := 0, 0
	for _, x := range results {
		if versions[x.Path] == nil {
			versions[x.Path] = make(map[string]bool)
		}
		for _, m := range versionLine.FindAllStringSubmatch(x.Versions, -1) {
			versions[x.Path][m[1]] = true
		}
		if x.Resumes != "" {
			takenUp++
			if x.Body != "" {
				wentOn++
			}
		}
	}
	mixed := 0
	for path, all := range versions {
		if len(all) > 1 {
			mixed++
			c.env.logFault("stream %s holds events of two versions", path)
		}
	}
	if mixed > maxMixedStreams {
		c.addViolation("%d streams hold events of two software versions, want at most %d", mixed, maxMixedStreams)
	}
	c.takenUp, c.wentOn, c.mixed = takenUp, wentOn, mixed
}
