/** Which agents and entries there are, as they announce themselves in the platform's log. */
package org.chivetally.entry.member;
