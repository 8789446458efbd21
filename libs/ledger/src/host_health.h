#pragma once

#include "fold.h"

namespace fulmarworks {

/** Counts evidence against a host; quarantines it when several different jobs failed in a row. */
void note_task_failure(fold& f, host_index h, job& j);

/** Clears the evidence against a host. */
void note_task_success(fold& f, host_index h);

/** Opens the hosts whose quarantine is over, on probation. */
void release_quarantined(fold& f);

} // namespace fulmarworks
