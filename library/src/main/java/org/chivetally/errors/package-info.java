/** Error codes and the one unchecked exception that carries them. */
package org.chivetally.errors;
