package configstore

import (
	v1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/config"
)

// Files returns the files of a bundle message.
func Files(message *v1.ConfigBundle) []config.File {
	files := make([]config.File, 0, len(message.GetFiles()))
	for _, file := range message.GetFiles() {
		files = append(files, config.File{Name: file.GetName(), Content: file.GetContent()})
	}
	return files
}

// Snapshot parses the files of a bundle message.
func Snapshot(message *v1.ConfigBundle) (*config.Snapshot, error) {
	return config.Parse(Files(message))
}
