/* Fuzzes the parsers of what the users' platform sends.  The first byte selects packets, HTTP calls
 * (reports, evacuations) or configurations. */
#include "platform/lc-platform-declaration.h"
#include "platform/lc-platform-evacuation.h"
#include "platform/lc-platform-packet.h"
#include "platform/lc-platform-report.h"

#include <stdlib.h>
#include <string.h>

enum
{
  N_KINDS = 3,
  PACKET_MAX = 34 + 1200, /* header and data */
};

static void
lc_fuzz__packet (const uint8_t *bytes, size_t len)
{
  uint8_t copy[PACKET_MAX];
  uint8_t reset[LC_PLATFORM_HEADER_BYTES];
  LcPacket packet;
  LcPacket again;

  if (lc_platform_packet_parse (&packet, bytes, len) < 0)
    return;
  if (len > sizeof copy)
    abort (); /* accepted above the maximum length */
  memcpy (copy, bytes, len);
  lc_platform_packet_set_mark (copy, packet.mark);
  if (lc_platform_packet_parse (&again, copy, len) < 0 || again.is_returned ||
      !lc_flow_key_equal (&again.key, &packet.key))
    abort (); /* setting the mark changed the flow */
  lc_platform_packet_build_reset (&packet, reset);
  if (lc_platform_packet_parse (&again, reset, sizeof reset) < 0 || !again.is_reset)
    abort ();
}

static void
lc_fuzz__backend_report (const char *method, const uint8_t *bytes, size_t len)
{
  static const char PATH[] = "/instances/i-1";
  LcPlatformCall call = {
    method, strlen (method), PATH, sizeof PATH - 1, (const char *)bytes, len
  };
  LcBackendReport report;
  LcError error = { 0 };

  if (lc_platform_report_read (&report, &call, &error) < 0)
    {
      if (error.remedy[0] == '\0')
        abort (); /* error without a remedy */
      return;
    }
  if (report.state != LC_BACKEND_ENDED && (report.service[0] == '\0' || report.slots == 0))
    abort (); /* accepted without a service or slots */
}

/* The bytes are the data centre's name in the path. */
static void
lc_fuzz__evacuation (const char *method, const uint8_t *bytes, size_t len)
{
  static const char PATH[] = "/evacuations/";
  char path[PACKET_MAX];
  size_t path_len = sizeof PATH - 1 + MIN (len, sizeof path - sizeof PATH);
  LcPlatformCall call = { method, strlen (method), path, path_len, NULL, 0 };
  LcEvacuation order;
  LcError error = { 0 };

  memcpy (path, PATH, sizeof PATH - 1);
  memcpy (path + sizeof PATH - 1, bytes, path_len - (sizeof PATH - 1));
  if (!lc_platform_evacuation_is_call (&call))
    abort ();
  if (lc_platform_evacuation_read (&order, &call, &error) < 0)
    {
      if (error.remedy[0] == '\0')
        abort ();
    }
  else if (order.data_centre[0] == '\0' || strlen (order.data_centre) != path_len - sizeof PATH + 1)
    abort (); /* name cut: evacuates another data centre */
}

static void
lc_fuzz__http_calls (const uint8_t *bytes, size_t len)
{
  lc_fuzz__evacuation ("POST", bytes, len);
  lc_fuzz__evacuation ("DELETE", bytes, len);
  lc_fuzz__backend_report ("PUT", bytes, len);
  lc_fuzz__backend_report ("DELETE", bytes, len);
}

static void
lc_fuzz__declaration (const uint8_t *bytes, size_t len)
{
  LcNumberedDeclaration n;
  LcError error = { 0 };

  if (lc_platform_declaration_read (&n, (const char *)bytes, len, &error) < 0)
    {
      if (error.remedy[0] == '\0')
        abort ();
      return;
    }
  if (lc_numbered_check (&n, &error) < 0)
    abort (); /* accepted but invalid */
  lc_numbered_finish (&n);
}

int LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t len);

int
LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t len)
{
  if (len == 0)
    return 0;
  switch (bytes[0] % N_KINDS)
    {
    case 0:
      lc_fuzz__packet (bytes + 1, len - 1);
      break;
    case 1:
      lc_fuzz__http_calls (bytes + 1, len - 1);
      break;
    default:
      lc_fuzz__declaration (bytes + 1, len - 1);
      break;
    }
  return 0;
}
