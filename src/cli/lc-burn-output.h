/* lc-burn-output: a merged burn history as text, JSON and a self-contained HTML page. */
#ifndef LC_BURN_OUTPUT_H
#define LC_BURN_OUTPUT_H

#include "lc-burn-collector.h"

#include <stdio.h>

/* `service` NULL selects all. */
void lc_burn_print_text (const LcBurnCollector *collector, const char *service, FILE *out);
json_t *lc_burn_to_json (const LcBurnCollector *collector, const char *service);
/* Without scripts or external resources; plots are inline SVG.  The caller frees it. */
char *lc_burn_to_html (const LcBurnCollector *collector, const char *service);

/* Whether any service has at least this urgency. */
bool
lc_burn_has_urgency (const LcBurnCollector *collector, const char *service, LcBurnUrgency urgency);

#endif /* LC_BURN_OUTPUT_H */
