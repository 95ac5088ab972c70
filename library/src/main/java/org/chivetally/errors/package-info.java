/** Error codes and the unchecked exception that carries them. */
package org.chivetally.errors;
