/* lc-burn-output: a merged burn history as text, JSON and a self-contained HTML page. */
#ifndef LC_BURN_OUTPUT_H
#define LC_BURN_OUTPUT_H

#include "lc-burn-collect.h"

#include <stdio.h>

/* `service` NULL selects all. */
void lc_burn_print_text (const LcBurnCollect *collector, const char *service, FILE *out);
json_t *lc_burn_to_json (const LcBurnCollect *collector, const char *service);
/* Without scripts or external resources; plots are inline SVG.  The caller frees it. */
char *lc_burn_to_html (const LcBurnCollect *collector, const char *service);

/* Whether any service has at least this urgency. */
bool lc_burn_any_at (const LcBurnCollect *collector, const char *service, LcBurnUrgency urgency);

#endif /* LC_BURN_OUTPUT_H */
