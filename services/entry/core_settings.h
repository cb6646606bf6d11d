#ifndef DANDELIONSPUR_SERVICES_ENTRY_CORE_SETTINGS_H_
#define DANDELIONSPUR_SERVICES_ENTRY_CORE_SETTINGS_H_

#include "libraries/configuration/settings.h"
#include "libraries/entry_core/entry_core.h"

namespace dandelionspur {

// Derives the settings of the core of the entry `self` from those of its
// process.
EntryCoreSettings DeriveCoreSettings(const EntrySettings& settings,
                                     EntryId self);

}  // namespace dandelionspur

#endif  // DANDELIONSPUR_SERVICES_ENTRY_CORE_SETTINGS_H_
