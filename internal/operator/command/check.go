package command

import (
	"os"
	"strings"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/config/bundle"
	"github.com/oriolepier/oriolepier/platform"
)

// platformSuffix is the ending of settings files of the platform.
const platformSuffix = ".yaml"

// check prints every fault of the files.
func (ses *session) check() error {
	files, err := readFiles(ses.opts.Check.Args.Files)
	if err != nil {
		return err
	}
	faults := 0
	var own []bundle.File
	for _, file := range files {
		if !strings.HasSuffix(file.Name, platformSuffix) {
			own = append(own, file)
			continue
		}
		if _, err := platform.DecodeSettings(file.Data); err != nil {
			ses.sayf("%s: %s", file.Name, err)
			faults++
		}
	}
	_, findings := bundle.Load(own)
	for _, finding := range findings {
		ses.sayf("%s", finding)
	}
	if faults += len(findings); faults > 0 {
		return errors.Errorf("%d faults", faults)
	}
	ses.sayf("%d files are good", len(files))
	return nil
}

func readFiles(names []string) ([]bundle.File, error) {
	files := make([]bundle.File, 0, len(names))
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, errors.Wrap(err, "read file")
		}
		files = append(files, bundle.File{Name: name, Data: data})
	}
	return files, nil
}
