package option

import "github.com/oriolepier/oriolepier/internal/base/clock"

// Standin runs a stand-in of the platform.
type Standin struct {
	Platform StandinPlatform `command:"platform" description:"Log, VM list and usage reports in one process"`
	Worker   StandinWorker   `command:"worker" description:"One worker VM: a backend server and a task agent"`
}

// StandinPlatform runs the platform's services.
type StandinPlatform struct {
	Listen      string       `long:"listen" value-name:"IP:PORT" default:"127.0.0.1:7000" description:"Address to listen at"`
	RetentionMS clock.Millis `long:"retention-ms" value-name:"MS" default:"86400000" description:"How long records are kept"`
	LagMS       clock.Millis `long:"lag-ms" value-name:"MS" default:"1000" description:"Lag of the VM list and of usage reports"`
}

// StandinWorker runs one worker VM.
type StandinWorker struct {
	Name          string `long:"name" value-name:"NAME" required:"true" description:"Name of the VM"`
	FailureDomain string `long:"failure-domain" value-name:"NAME" required:"true" description:"Failure domain of the VM"`
	Rack          string `long:"rack" value-name:"NAME" default:"rack-1" description:"Rack of the VM"`
	Requests      string `long:"requests" value-name:"IP:PORT" default:"127.0.0.1:0" description:"Address to serve requests at"`
	Agent         string `long:"agent" value-name:"IP:PORT" default:"127.0.0.1:0" description:"Address to take tasks at"`
	Platform      string `long:"platform" value-name:"URL" default:"http://127.0.0.1:7000" description:"Stand-in to report to"`
	MilliCores    int64  `long:"milli-cores" value-name:"N" default:"64000" description:"Thousandths of a core that it has"`
	MemoryMB      int64  `long:"memory-mb" value-name:"MB" default:"256000" description:"Memory that it has"`
	Accelerators  int64  `long:"accelerators" value-name:"N" default:"0" description:"Accelerators that it has"`
	Slots         int    `long:"slots" value-name:"N" default:"8" description:"Requests that it serves at once"`
	Connections   int    `long:"connections" value-name:"N" default:"64" description:"Connections that it takes"`
}
