#include "services/entry/entry_server.h"
#include "services/runtime/run_daemon.h"

int main(int argument_count, char** arguments) {
  using dandelionspur::EntryServer;
  using dandelionspur::EntrySettings;
  return dandelionspur::RunDaemon<EntryServer, EntrySettings>(
      {"dandelionspur-entry", "entry",
       "Accepts jobs and requests, and dispatches their tasks."},
      dandelionspur::ParseEntrySettings, argument_count, arguments);
}
