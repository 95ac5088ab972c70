/** Settings files of the daemons, validated completely before a daemon starts. */
package org.chivetally.settings;
