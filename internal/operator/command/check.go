package command

import (
	"os"
	"strings"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/config/bundle"
	"github.com/oriolepier/oriolepier/platform"
)

// platformSettingsSuffix is the suffix of the names of platform settings files.
const platformSettingsSuffix = ".yaml"

// check prints the findings of all files.
func (ses *session) check() error {
	files, err := readFiles(ses.opts.Check.Args.Files)
	if err != nil {
		return err
	}
	faults := 0
	var tables []bundle.File // tables and entry settings
	for _, file := range files {
		if !strings.HasSuffix(file.Name, platformSettingsSuffix) {
			tables = append(tables, file)
			continue
		}
		if _, err := platform.DecodeSettings(file.Data); err != nil {
			ses.printf("%s: %s", file.Name, err)
			faults++
		}
	}
	_, findings := bundle.Load(tables)
	for _, finding := range findings {
		ses.printf("%s", finding)
	}
	if faults += len(findings); faults > 0 {
		return errors.Errorf("found %d faults", faults)
	}
	ses.printf("%d files checked, no faults", len(files))
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
