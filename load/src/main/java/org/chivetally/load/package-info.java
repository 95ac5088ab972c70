/** Open-loop load against entries, judged by what callers were told and what minions recorded. */
package org.chivetally.load;
