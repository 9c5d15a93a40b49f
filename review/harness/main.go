package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(s *system, trouble bool) bool{
	"drain":   drain,
	"foreign": foreign,
	"shared":  shared,
	"stale":   stale,
	"tunnel":  tunnel,
}

func main() { os.Exit(play()) }

func play() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: harness CASE FOLDER, in the folder of the repository")
		return 2
	}
	defer func() {
		if x := recover(); x != nil {
			fmt.Println("the case couldn't run:", x)
			code = 2
		}
	}()
	s := newSystem(newRecord(os.Args[2]))
	defer s.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-stopped
		s.close()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	s.record.say("case %s, disruption: %v", os.Args[1], trouble)
	if cases[os.Args[1]](s, trouble) {
		s.record.say("the rule was broken")
		return 1
	}
	s.record.say("the rule held")
	return 0
}
